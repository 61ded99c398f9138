package dev.caroblb.daemon;

import dev.caroblb.agreement.journal.DiskFileAccess;
import dev.caroblb.core.Duty;
import dev.caroblb.core.Outlet;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.ResumptionHandler;
import dev.caroblb.resumption.ResumptionMessage;
import dev.caroblb.resumption.journal.RecordJournal;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** The duties of a control instance that keep and store the origins of streams. */
final class ResumptionDuties implements Outlet<ResumptionMessage>, AutoCloseable {
  private final LateBoundOutlet<ResumptionMessage> outlet = new LateBoundOutlet<>();
  private Optional<RecordJournal> journal = Optional.empty();

  /** Reads the stored records and creates the duties. */
  void create(
      DutyRegistry duties, Path folder, PeerChannel<PeerMessage> peers, InstanceMetrics metrics) {
    RecordJournal records = new RecordJournal(new DiskFileAccess(), folder, duties.clock());
    journal = Optional.of(records);
    List<PeerMessage.StreamBegan> restored = records.restore();
    ResumptionHandler handler =
        new ResumptionHandler(
            peers, duties.create("resumption-journal", records), restored, duties.clock().nowMs());
    metrics.addGauge(
        "caroblb.resumption.streams", "Streams whose origin is known here", handler::size);
    Duty<ResumptionMessage> duty = duties.create("resumption", handler);
    outlet.bind(duty);
    peers.setReceiver(message -> duty.offer(new ResumptionMessage.FromPeer(message)));
  }

  @Override
  public boolean offer(ResumptionMessage message) {
    return outlet.offer(message);
  }

  /** Closes the files; the duties must have ended. */
  @Override
  public void close() {
    journal.ifPresent(RecordJournal::close);
  }
}
