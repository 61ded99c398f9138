/** Links to targets: encodes requests to engines and plain services and decodes their answers. */
package dev.caroblb.engines;
