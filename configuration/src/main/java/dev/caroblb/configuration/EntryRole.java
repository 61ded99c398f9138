package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Entry side of the configuration lease: keeps the installed configuration up to date and tells the
 * consumer of views until when new calls may be admitted under it.
 */
final class EntryRole {
  /** Length of a lease, counted from the time at which its renewal request was sent. */
  static final long LEASE_MS = 4_000;

  static final long RENEW_MS = 1_000;

  /** Delay after a request to a replica that is not the leader, before another replica is asked. */
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
  private long acknowledgedNumber;
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
      finder.moveToNext();
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
        finder.candidate(),
        new PeerMessage.RenewRequest(incarnation, sequence, acknowledgedNumber, staging.cursor()));
  }

  /** Processes the answer of the leader to a renewal request. */
  void renewalAnswered(PeerMessage.RenewAnswer answer, long nowMs) {
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
      // Asks for the next chunk, or acknowledges the installed number, without waiting for the next
      // renewal.
      sendRequest(nowMs);
    }
  }

  /** Processes the answer of a replica that is not the acting leader. */
  void leaderHintReceived(InstanceId peer, Optional<InstanceId> leader, long nowMs) {
    awaitingAnswer = false;
    if (leader.isPresent()) {
      finder.moveTo(leader.get());
    } else if (peer.equals(finder.candidate())) {
      finder.moveToNext();
    }
    nextRenewMs = Math.min(nextRenewMs, Math.max(nowMs, lastSendMs + RETRY_MS));
  }

  /** Installs the local replicated state if its number is greater than the installed one. */
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

  /**
   * Offers the installed configuration and its lease to the consumer of views. The number is
   * acknowledged to the leader only after the consumer has accepted a view with it.
   */
  private void offerView(long nowMs) {
    viewPending = !views.offer(new EntryView(installed, leaseValidUntilMs));
    if (viewPending) {
      counters.add(ConfigurationEvent.VIEW_DELAYED);
      nextViewMs = nowMs + VIEW_RETRY_MS;
      return;
    }
    acknowledgedNumber = installed.number();
  }
}
