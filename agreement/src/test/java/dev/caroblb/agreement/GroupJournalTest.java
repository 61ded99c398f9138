package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GroupJournalTest {
  private final GroupJournal journal = new GroupJournal(GroupId.CONTROL, message -> true, 10);

  private static List<LogEntry> entry(long index) {
    return List.of(new LogEntry(index, 1, EntryKind.COMMAND, Payload.empty()));
  }

  @Nested
  class WhenEntriesAreReplaced {
    /** Guards against a sync of replaced entries that is counted for their replacements. */
    @Test
    void oldSyncsDoNotCount() {
      journal.append(entry(11));
      journal.append(entry(12));
      journal.append(entry(8));
      journal.synced(2);
      assertEquals(7, journal.syncedIndex());
      journal.synced(3);
      assertEquals(8, journal.syncedIndex());
    }

    /** Guards against synced entries that still count after they were replaced. */
    @Test
    void replacedEntriesNoLongerCount() {
      journal.append(entry(5));
      assertEquals(4, journal.syncedIndex());
    }
  }

  @Nested
  class WhenAVoteIsSaved {
    /** Guards against a vote that is sent before it is on disk. */
    @Test
    void itCountsOnlyOnceSynced() {
      journal.append(entry(11));
      journal.saveVote(2, Optional.empty());
      journal.synced(1);
      assertFalse(journal.voteSynced());
      journal.synced(2);
      assertTrue(journal.voteSynced());
    }
  }
}
