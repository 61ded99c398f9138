package dev.caroblb.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.agreement.AgreementMessage;
import dev.caroblb.agreement.GroupStatus;
import dev.caroblb.callers.StatusSource;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.membership.InstanceRecord;
import java.util.List;
import java.util.Locale;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Reports status and metrics of the instance to operators. */
final class InstanceStatus implements StatusSource, Outlet<List<GroupStatus>> {
  private final InstanceId self;
  private final ConfigurationGate gate;
  private final MembershipEntryDirectory entries;
  private final TargetDirectory targets;
  private final IntSupplier running;
  private final Supplier<String> metrics;
  private final Supplier<EvacuationState> evacuations;
  private volatile Runnable refresh = () -> {};
  private volatile List<GroupStatus> groups = List.of();

  InstanceStatus(
      InstanceId self,
      ConfigurationGate gate,
      MembershipEntryDirectory entries,
      TargetDirectory targets,
      IntSupplier running,
      Supplier<String> metrics,
      Supplier<EvacuationState> evacuations) {
    this.self = self;
    this.gate = gate;
    this.entries = entries;
    this.targets = targets;
    this.running = running;
    this.metrics = metrics;
    this.evacuations = evacuations;
  }

  @Override
  public boolean offer(List<GroupStatus> latest) {
    groups = latest;
    return true;
  }

  /**
   * Queries the replica for the state of its groups on each status request. The response contains
   * the state received last, because the query is asynchronous.
   */
  void refreshFrom(ControlReplica replica) {
    refresh = () -> replica.agreement().offer(new AgreementMessage.QueryStatus(this));
  }

  @Override
  public String status() {
    refresh.run();
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("instance", self.name());
    body.put("configuration", gate.snapshot().number());
    body.put("workspaces", gate.snapshot().workspaceCount());
    body.put("admits", gate.admits());
    body.put("running_calls", running.getAsInt());
    body.put("targets", targets.size());
    EvacuationState evacuated = evacuations.get();
    body.put("evacuation_revision", evacuated.revision());
    evacuated.names().forEach(body.putArray("evacuated")::add);
    ArrayNode instances = body.putArray("instances");
    for (InstanceRecord instance : entries.view().instances()) {
      instances
          .addObject()
          .put("instance", instance.id().name())
          .put("domain", instance.domain().name())
          .put("state", instance.state().name().toLowerCase(Locale.ROOT))
          .put("configuration", instance.configuration());
    }
    ArrayNode groupNodes = body.putArray("groups");
    for (GroupStatus group : groups) {
      ObjectNode node = groupNodes.addObject();
      node.put("group", group.group().name());
      node.put("role", group.role().name().toLowerCase(Locale.ROOT));
      node.put("term", group.term());
      node.put("leader", group.leader().map(InstanceId::name).orElse(""));
      node.put("committed", group.commitIndex());
      ArrayNode members = node.putArray("members");
      group.members().forEach(member -> members.add(member.instance().name()));
    }
    return body.toString();
  }

  @Override
  public String metrics() {
    return metrics.get();
  }
}
