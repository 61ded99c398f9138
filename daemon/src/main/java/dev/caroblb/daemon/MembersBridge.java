package dev.caroblb.daemon;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.forwarding.ForwardingMessage;
import dev.caroblb.membership.InstanceRecord;
import dev.caroblb.membership.InstanceView;
import dev.caroblb.resumption.ResumptionMessage;
import dev.caroblb.routing.RoutingMessage;
import dev.caroblb.scheduling.SchedulingMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps the latest view of the instances and passes changes of them on to other duties. The
 * resources of instances change often and matter only to look-ups, which read the view.
 */
final class MembersBridge implements Outlet<InstanceView> {
  private final ForwardingInstanceSettings settings;
  private final Outlet<RoutingMessage> routing;
  private final Outlet<ForwardingMessage> forwarding;
  private final Optional<LateBoundOutlet<SchedulingMessage>> scheduling;
  private final Optional<ResumptionDuties> resumption;
  private final EvacuationDuty evacuation;
  private volatile InstanceView view = new InstanceView(List.of(), List.of());
  private InstanceView offeredMembers = view;

  MembersBridge(
      ForwardingInstanceSettings settings,
      Outlet<RoutingMessage> routing,
      Outlet<ForwardingMessage> forwarding,
      Optional<LateBoundOutlet<SchedulingMessage>> scheduling,
      Optional<ResumptionDuties> resumption,
      EvacuationDuty evacuation) {
    this.settings = settings;
    this.routing = routing;
    this.forwarding = forwarding;
    this.scheduling = scheduling;
    this.resumption = resumption;
    this.evacuation = evacuation;
  }

  /** The latest view; may be read from any thread. */
  InstanceView view() {
    return view;
  }

  @Override
  public boolean offer(InstanceView latest) {
    view = latest;
    InstanceView members = latest.withoutResources();
    if (members.equals(offeredMembers)) {
      return true;
    }
    boolean offered = membersChanged(members);
    if (offered) {
      offeredMembers = members;
    }
    return offered;
  }

  /** Routing tables are exchanged with the same instances as the tables of targets. */
  private boolean membersChanged(InstanceView latest) {
    Set<InstanceId> peers = new HashSet<>(settings.seeds());
    for (InstanceRecord known : latest.instances()) {
      peers.add(known.id());
    }
    peers.remove(settings.instance());
    List<InstanceId> controlInstances =
        latest.instances().stream()
            .filter(known -> known.address().isEmpty())
            .map(InstanceRecord::id)
            .filter(id -> !id.equals(settings.instance()))
            .toList();
    Set<InstanceId> serving =
        latest.instances().stream()
            .filter(known -> !known.address().isEmpty())
            .map(InstanceRecord::id)
            .collect(Collectors.toSet());
    boolean offered =
        scheduling.isEmpty()
            || scheduling
                .get()
                .offer(new SchedulingMessage.ServingInstancesChanged(serving.size()));
    offered &=
        resumption.isEmpty()
            || resumption
                .get()
                .offer(
                    new ResumptionMessage.InstancesChanged(serving, Set.copyOf(controlInstances)));
    offered &=
        forwarding.offer(
            new ForwardingMessage.ControlInstancesChanged(
                settings.hasControlReplica() ? List.of() : controlInstances));
    boolean known = evacuation.peersChanged(peers, settings.seeds(), controlInstances);
    return routing.offer(new RoutingMessage.PeersChanged(peers)) && known && offered;
  }
}
