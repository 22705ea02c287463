/* The journal: an append-only file of durable records in a data folder.
 *
 * Every record has a number, a length and checksums. A record is durable only
 * once RpJournal_Sync has returned RP_OK. After a failed sync the journal
 * refuses all writes, because the kernel may have dropped the pages that it
 * could not write.
 *
 * Opening a journal replays its records in order. A last record that a crash
 * cut off is dropped: it was never acknowledged. If a power loss left gaps in
 * the last batch, the records from the first gap on are dropped as well.
 * Damage anywhere else is RP_ERR_CORRUPT, and the file is left unchanged.
 *
 * RpJournal_Rewrite replaces the whole content, for compaction, by a new file
 * that is synced before it is renamed to the old one's name.
 */
#ifndef RP_JOURNAL_H
#define RP_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_error.h"
#include "rp_str.h"

#define RP_JOURNAL_FORMAT 1
#define RP_RECORD_PAYLOAD_MAX (16u << 20) /* bytes of one record's payload */

/* One record. The caller defines the kinds. */
struct rp_record {
    uint8_t kind;
    struct rp_str payload;
};

/* The callback of a replay. */
struct rp_journal_reader {
    /* Called for each record in order. The record is valid during the call.
     * An error ends the replay and is returned by it. */
    enum rp_code (*visit)(void *user, const struct rp_record *record,
                          struct rp_error *error);
    void *user;
};

struct rp_journal;

/* The result of RpJournal_Check. */
struct rp_journal_report {
    uint64_t records;
    uint64_t bytes;      /* of good records and the file header */
    uint64_t torn_bytes; /* after the last good record */
};

/* Opens and locks the journal in `folder`, creating folder and file if they
 * are missing, and passes its records to `reader` unless that is NULL. Returns
 * NULL on failure and says why in `error`: I/O errors, another process that
 * has the journal open, damage, an unknown format, or an error of the
 * reader. */
struct rp_journal *RpJournal_Open(const char *folder,
                                  const struct rp_journal_reader *reader,
                                  struct rp_error *error);

/* Closes the file and frees the journal (NULL: does nothing). Records that are
 * not synced are lost. */
void RpJournal_Close(struct rp_journal *journal);

/* Adds a copy of the record to the batch that the next sync writes. */
void RpJournal_Append(struct rp_journal *journal,
                      const struct rp_record *record);

/* Writes the appended records and syncs them to disk. After RP_ERR_IO, this
 * and every later sync or rewrite of the open journal fails. */
enum rp_code RpJournal_Sync(struct rp_journal *journal,
                            struct rp_error *error);

/* Replaces the whole content by `count` records, synced, and discards records
 * that were appended but not synced. RP_ERR_IO is final, as for a sync. */
enum rp_code RpJournal_Rewrite(struct rp_journal *journal,
                               const struct rp_record *records, size_t count,
                               struct rp_error *error);

/* Returns the bytes of the file; without records that are not synced. */
uint64_t RpJournal_Size(const struct rp_journal *journal);

/* Checks the journal in `folder` without changing it, and without its lock.
 * Returns RP_ERR_IO, RP_ERR_CORRUPT or RP_ERR_FORMAT on failure. */
enum rp_code RpJournal_Check(const char *folder,
                             struct rp_journal_report *report,
                             struct rp_error *error);

#endif
