package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Entry side of the configuration lease: keeps the installed configuration up to date and tells its
 * consumer until when new calls may be admitted under it.
 */
final class EntryRole {
  /** Time from sending a renewal request to the end of the lease that it yields. */
  static final long LEASE_MS = 4_000;

  static final long RENEW_MS = 1_000;

  /** Wait before the next replica is asked when one answered that it is not the leader. */
  static final long RETRY_MS = 200;

  private static final long VIEW_RETRY_MS = 20;
  private static final System.Logger LOGGER = System.getLogger(EntryRole.class.getName());

  private final String incarnation;
  private final LeaderFinder finder;
  private final PeerSender sender;
  private final Outlet<EntryView> views;
  private final ConfigurationCounters counters;
  private final FileStaging staging;
  private final TreeMap<Long, Long> sendTimes = new TreeMap<>();

  private ConfigurationSnapshot installed = ConfigurationSnapshot.empty();
  private long leaseValidUntilMs = Long.MIN_VALUE;
  private long acknowledged;
  private boolean viewPending;
  private boolean awaitingAnswer;
  private long sequence;
  private long lastSendMs;
  private long nextRenewMs;
  private long nextViewMs;

  EntryRole(
      String incarnation,
      LeaderFinder finder,
      PeerSender sender,
      Outlet<EntryView> views,
      ConfigurationCounters counters) {
    this.incarnation = incarnation;
    this.finder = finder;
    this.sender = sender;
    this.views = views;
    this.counters = counters;
    this.staging = new FileStaging(counters);
  }

  long nextTickMs() {
    return viewPending ? Math.min(nextViewMs, nextRenewMs) : nextRenewMs;
  }

  void tick(long nowMs) {
    if (viewPending) {
      offerView(nowMs);
    }
    if (nowMs < nextRenewMs) {
      return;
    }
    if (awaitingAnswer) {
      counters.add(ConfigurationEvent.RENEWAL_UNANSWERED);
      finder.next();
    }
    sendRequest(nowMs);
  }

  private void sendRequest(long nowMs) {
    sequence++;
    sendTimes.put(sequence, nowMs);
    sendTimes.values().removeIf(sentMs -> sentMs + LEASE_MS <= nowMs);
    awaitingAnswer = true;
    lastSendMs = nowMs;
    nextRenewMs = nowMs + RENEW_MS;
    sender.send(
        finder.target(),
        new PeerMessage.RenewRequest(incarnation, sequence, acknowledged, staging.cursor()));
  }

  /** Processes an answer of the leader. */
  void answered(PeerMessage.RenewAnswer answer, long nowMs) {
    Optional<Long> sentMs =
        answer.incarnation().equals(incarnation)
            ? Optional.ofNullable(sendTimes.remove(answer.sequence()))
            : Optional.empty();
    if (sentMs.isEmpty()) {
      counters.add(ConfigurationEvent.ANSWER_IGNORED);
      return;
    }
    awaitingAnswer = false;
    long before = installed.number();
    boolean added = staging.add(answer.chunk());
    if (added && answer.chunk().last()) {
      installStaged(answer.number());
    }
    if (answer.chunk().last() && installed.number() >= answer.number()) {
      leaseValidUntilMs = Math.max(leaseValidUntilMs, sentMs.get() + LEASE_MS);
    }
    offerView(nowMs);
    boolean moreFiles = added && !answer.chunk().last();
    if (moreFiles || installed.number() > before) {
      // The request asks for the next chunk, or acknowledges the number without a wait.
      sendRequest(nowMs);
    }
  }

  /** Processes the answer of a replica that does not act as the leader. */
  void notLeader(InstanceId peer, Optional<InstanceId> leader, long nowMs) {
    awaitingAnswer = false;
    if (leader.isPresent()) {
      finder.pointAt(leader.get());
    } else if (peer.equals(finder.target())) {
      finder.next();
    }
    nextRenewMs = Math.min(nextRenewMs, Math.max(nowMs, lastSendMs + RETRY_MS));
  }

  /** Installs what the replicated state of this instance contains beyond the installed number. */
  void stateApplied(ConfigurationState state, long nowMs) {
    if (state.number() <= installed.number()) {
      return;
    }
    staging.restartAfter(installed.number());
    boolean readable =
        staging.addAll(
            state.changesAfter(FileCursor.after(installed.number())).stream()
                .map(StoredFile::content)
                .toList());
    if (!readable) {
      counters.add(ConfigurationEvent.INSTALL_FAILED);
      staging.restartAfter(installed.number());
      return;
    }
    installStaged(state.number());
    offerView(nowMs);
  }

  private void installStaged(long number) {
    if (number < installed.number()) {
      counters.add(ConfigurationEvent.SMALLER_NUMBER_IGNORED);
      return;
    }
    if (number == installed.number()) {
      return;
    }
    if (!staging.completeAt(number)) {
      counters.add(ConfigurationEvent.CHUNK_IGNORED);
      return;
    }
    installed = installed.with(number, staging.staged());
    staging.restartAfter(number);
    LOGGER.log(System.Logger.Level.INFO, InstallLog.installed(number, installed.workspaceCount()));
  }

  /** The number is acknowledged only after the consumer took the view that contains it. */
  private void offerView(long nowMs) {
    viewPending = !views.offer(new EntryView(installed, leaseValidUntilMs));
    if (viewPending) {
      counters.add(ConfigurationEvent.VIEW_DELAYED);
      nextViewMs = nowMs + VIEW_RETRY_MS;
      return;
    }
    acknowledged = installed.number();
  }
}
