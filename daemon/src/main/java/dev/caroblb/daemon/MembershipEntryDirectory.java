package dev.caroblb.daemon;

import dev.caroblb.callers.EntryAddress;
import dev.caroblb.callers.EntryDirectory;
import dev.caroblb.core.Outlet;
import dev.caroblb.membership.InstanceRecord;
import dev.caroblb.membership.InstanceView;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Keeps the latest view of the instances and gives the addresses of entries to the HTTP front end.
 */
final class MembershipEntryDirectory implements EntryDirectory, Outlet<InstanceView> {
  private volatile InstanceView view = new InstanceView(List.of(), List.of());

  @Override
  public boolean offer(InstanceView latest) {
    view = latest;
    return true;
  }

  InstanceView view() {
    return view;
  }

  @Override
  public List<EntryAddress> entries() {
    return view.shuffled(ThreadLocalRandom.current().nextLong()).stream()
        .map(MembershipEntryDirectory::address)
        .toList();
  }

  private static EntryAddress address(InstanceRecord entry) {
    return new EntryAddress(entry.address(), entry.id().name(), entry.domain().name());
  }

  @Override
  public long addressTtlMs() {
    return view.addressTtlMs();
  }
}
