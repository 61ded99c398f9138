package dev.caroblb.resumption.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.StreamOrigin;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions may append fields.
 */
public final class ResumptionCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_STREAM_BEGAN = 1;
  private static final int TYPE_ORIGIN_QUERY = 2;
  private static final int TYPE_ORIGIN_REPLY = 3;
  private static final int TYPE_RECORDS_REQUEST = 4;
  private static final int TYPE_RECORDS_PAGE = 5;
  private static final int STREAM_BEGAN_FIELDS = 4;
  private static final int ORIGIN_FIELDS = 2;
  private static final int ORIGIN_QUERY_FIELDS = 1;
  private static final int ORIGIN_REPLY_FIELDS = 2;
  private static final int RECORDS_REQUEST_FIELDS = 1;
  private static final int RECORDS_PAGE_FIELDS = 4;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.StreamBegan began) {
      out.packArrayHeader(1 + STREAM_BEGAN_FIELDS);
      out.packInt(TYPE_STREAM_BEGAN);
      write(out, began);
    } else if (message instanceof PeerMessage.OriginQuery query) {
      out.packArrayHeader(1 + ORIGIN_QUERY_FIELDS);
      out.packInt(TYPE_ORIGIN_QUERY);
      out.packString(query.attempt());
    } else if (message instanceof PeerMessage.OriginReply reply) {
      out.packArrayHeader(1 + ORIGIN_REPLY_FIELDS);
      out.packInt(TYPE_ORIGIN_REPLY);
      out.packString(reply.attempt());
      out.packArrayHeader(reply.origin().isPresent() ? 1 : 0);
      if (reply.origin().isPresent()) {
        out.packArrayHeader(ORIGIN_FIELDS);
        write(out, reply.origin().get());
      }
    } else if (message instanceof PeerMessage.RecordsRequest request) {
      out.packArrayHeader(1 + RECORDS_REQUEST_FIELDS);
      out.packInt(TYPE_RECORDS_REQUEST);
      out.packLong(request.after());
    } else if (message instanceof PeerMessage.RecordsPage page) {
      out.packArrayHeader(1 + RECORDS_PAGE_FIELDS);
      out.packInt(TYPE_RECORDS_PAGE);
      out.packLong(page.after());
      out.packLong(page.next());
      out.packBoolean(page.last());
      out.packArrayHeader(page.records().size());
      for (PeerMessage.StreamBegan began : page.records()) {
        out.packArrayHeader(STREAM_BEGAN_FIELDS);
        write(out, began);
      }
    }
  }

  private static void write(MessagePacker out, PeerMessage.StreamBegan began) throws IOException {
    out.packString(began.attempt());
    write(out, began.origin());
    out.packLong(began.keepMs());
  }

  private static void write(MessagePacker out, StreamOrigin origin) throws IOException {
    out.packString(origin.service());
    out.packString(origin.version().name());
  }

  @Override
  public Optional<PeerMessage> decode(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.variant(new Variants()));
  }

  private static final class Variants implements BoundedReader.Variants<PeerMessage> {
    @Override
    public int fields(int type) {
      return switch (type) {
        case TYPE_STREAM_BEGAN -> STREAM_BEGAN_FIELDS;
        case TYPE_ORIGIN_QUERY -> ORIGIN_QUERY_FIELDS;
        case TYPE_ORIGIN_REPLY -> ORIGIN_REPLY_FIELDS;
        case TYPE_RECORDS_REQUEST -> RECORDS_REQUEST_FIELDS;
        case TYPE_RECORDS_PAGE -> RECORDS_PAGE_FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_STREAM_BEGAN -> streamBegan(in);
        case TYPE_RECORDS_REQUEST -> new PeerMessage.RecordsRequest(in.longValue());
        case TYPE_RECORDS_PAGE ->
            new PeerMessage.RecordsPage(
                in.longValue(),
                in.longValue(),
                in.flag(),
                in.list(
                    PeerMessage.RecordsPage.MAX_RECORDS,
                    list -> list.structure(STREAM_BEGAN_FIELDS, ResumptionCodec::streamBegan)));
        case TYPE_ORIGIN_QUERY -> new PeerMessage.OriginQuery(attempt(in));
        default ->
            new PeerMessage.OriginReply(
                attempt(in),
                in.optional(list -> list.structure(ORIGIN_FIELDS, ResumptionCodec::origin)));
      };
    }
  }

  private static PeerMessage.StreamBegan streamBegan(BoundedReader in) throws IOException {
    return new PeerMessage.StreamBegan(attempt(in), origin(in), in.longValue());
  }

  private static String attempt(BoundedReader in) throws IOException {
    return in.text(PeerMessage.MAX_ATTEMPT_BYTES);
  }

  private static StreamOrigin origin(BoundedReader in) throws IOException {
    return new StreamOrigin(
        in.text(StreamOrigin.MAX_SERVICE_BYTES),
        new SoftwareVersion(in.text(SoftwareVersion.MAX_BYTES)));
  }
}
