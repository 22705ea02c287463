/* The journal: durable records in one file of a data folder.
 *
 * Every record carries a number, its length and a checksum. A record counts
 * as written only once RpJournal_Sync has returned RP_OK; after a failed
 * sync the journal refuses everything, for the kernel may have dropped the
 * pages that it could not write.
 *
 * Opening a journal replays its records in order. A last record that was
 * cut off by a crash is dropped (it was never acknowledged), and so is the
 * rest of a last batch of which the file system wrote only parts; damage
 * anywhere else is RP_ERR_CORRUPT, and the file is left as it is.
 *
 * RpJournal_Rewrite replaces the whole content (compaction) through a new
 * file that is synced before it takes the old one's name.
 */
#ifndef RP_JOURNAL_H
#define RP_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_error.h"
#include "rp_str.h"

#define RP_JOURNAL_FORMAT 1
#define RP_RECORD_MAX (16u << 20) /* bytes of one record's payload */

/* One record: what kind it is (the user's own numbers) and its bytes. */
struct rp_record {
    uint8_t kind;
    struct rp_str payload;
};

/* What a replay calls. */
struct rp_journal_reader {
    /* Called for each record in order; an error ends the replay. */
    enum rp_code (*visit)(void *user, const struct rp_record *record,
                          struct rp_error *error);
    void *user;
};

struct rp_journal;

/* What a check of a folder found. */
struct rp_journal_report {
    uint64_t records;
    uint64_t bytes;      /* of good records, the file header included */
    uint64_t torn_bytes; /* cut-off tail */
};

/* Opens the journal in `folder`, creating folder and file if they are
 * missing, and replays it to `reader` (NULL: to nobody). NULL with findings
 * in `error` on failure. */
struct rp_journal *RpJournal_Open(const char *folder,
                                  const struct rp_journal_reader *reader,
                                  struct rp_error *error);

/* Closes the file; unsynced records may be lost. */
void RpJournal_Close(struct rp_journal *journal);

/* Adds a record to the unsynced tail. */
void RpJournal_Append(struct rp_journal *journal,
                      const struct rp_record *record);

/* Writes and syncs what was appended. Any failure is final. */
enum rp_code RpJournal_Sync(struct rp_journal *journal,
                            struct rp_error *error);

/* Replaces all content by `count` records, synced. */
enum rp_code RpJournal_Rewrite(struct rp_journal *journal,
                               const struct rp_record *records, size_t count,
                               struct rp_error *error);

/* Bytes in the file. */
uint64_t RpJournal_Size(const struct rp_journal *journal);

/* Reads a folder without changing anything. */
enum rp_code RpJournal_Check(const char *folder,
                             struct rp_journal_report *report,
                             struct rp_error *error);

#endif
