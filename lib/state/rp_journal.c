/* The journal's file: its format, replay and recovery after a crash, and the
 * writes that make records durable. */
#include "rp_journal.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "rp_bytes.h"

#define FILE_NAME "journal"
#define TEMP_FILE_NAME "journal.new"
#define FOLDER_MODE 0700
#define FILE_MODE 0600
#define HEADER_SIZE 16        /* bytes: "rpjournl", format, zeros */
#define RECORD_HEADER_SIZE 32 /* bytes */
#define RECORD_MAGIC 0x72706a31u
#define BATCH_POSITION_MAX 0xffffffu /* 3 bytes of the record header */

/* Layout of a record header, big-endian:
 *   0  magic     4
 *   4  length    4  of the payload
 *   8  number    8  of the record within the file, from 0
 *  16  kind      1
 *  17  position  3  within its batch: the records written by one sync
 *  20  checksum  4  over bytes 0 to 19
 *  24  checksum  8  over the payload
 *
 * The header has a checksum of its own: without it, a damaged length would
 * look like a record that a crash cut off.
 */

static const uint8_t file_magic[8] = "rpjournl";

struct rp_journal {
    GString *path;
    GString *folder;
    int fd;
    uint64_t size;
    uint64_t next_number;
    GByteArray *pending;      /* encoded records that no sync has written */
    uint32_t pending_records; /* in `pending`, the batch of the next sync */
    bool failed;              /* a write or sync failed; refuse all others */
};

static uint64_t
compute_checksum(const uint8_t *data, size_t len)
{
    static const uint8_t key[crypto_shorthash_KEYBYTES] = "rp-journal-check";
    uint8_t digest[crypto_shorthash_BYTES];

    crypto_shorthash(digest, data, len, key);
    return RpBytes_Get64(digest);
}

/* Appends the encoded record to `out`. */
static void
write_record(GByteArray *out, const struct rp_record *record, uint64_t number,
             uint32_t position)
{
    uint8_t header[RECORD_HEADER_SIZE] = {0};
    const uint8_t *payload = (const uint8_t *)record->payload.data;

    assert(record->payload.len <= RP_RECORD_PAYLOAD_MAX);
    RpBytes_Put32(header, RECORD_MAGIC);
    RpBytes_Put32(header + 4, (uint32_t)record->payload.len);
    RpBytes_Put64(header + 8, number);
    RpBytes_Put32(header + 16, MIN(position, BATCH_POSITION_MAX));
    header[16] = record->kind;
    RpBytes_Put32(header + 20, (uint32_t)compute_checksum(header, 20));
    RpBytes_Put64(header + 24, compute_checksum(payload, record->payload.len));
    g_byte_array_append(out, header, sizeof header);
    if (record->payload.len) {
        g_byte_array_append(out, payload, (guint)record->payload.len);
    }
}

/* RECORD_TRUNCATED: the data ends before the record does. */
enum record_check { RECORD_GOOD, RECORD_TRUNCATED, RECORD_DAMAGED };

/* Checks the record at `data`. If it is good, sets `*size` to its size in
 * bytes, header included. */
static enum record_check
check_record(const uint8_t *data, size_t len, size_t *size)
{
    if (len < RECORD_HEADER_SIZE) {
        return RECORD_TRUNCATED;
    }
    uint32_t payload_len = RpBytes_Get32(data + 4);
    if (RpBytes_Get32(data) != RECORD_MAGIC ||
        payload_len > RP_RECORD_PAYLOAD_MAX ||
        RpBytes_Get32(data + 20) != (uint32_t)compute_checksum(data, 20)) {
        return RECORD_DAMAGED;
    }
    if (len - RECORD_HEADER_SIZE < payload_len) {
        return RECORD_TRUNCATED;
    }
    if (RpBytes_Get64(data + 24) !=
        compute_checksum(data + RECORD_HEADER_SIZE, payload_len)) {
        return RECORD_DAMAGED;
    }
    *size = RECORD_HEADER_SIZE + payload_len;
    return RECORD_GOOD;
}

/* Returns the offset of the first good record in `data` at `from` or later;
 * `len` if there is none. */
static size_t
find_good_record(const uint8_t *data, size_t len, size_t from)
{
    for (size_t i = from; i + RECORD_HEADER_SIZE <= len; i++) {
        size_t size;
        if (RpBytes_Get32(data + i) == RECORD_MAGIC &&
            check_record(data + i, len - i, &size) == RECORD_GOOD) {
            return i;
        }
    }
    return len;
}

/* Whether `data` holds a run of zeros as long as a record header: blocks that
 * the file system had allocated but not written. */
static bool
has_zero_run(const uint8_t *data, size_t len)
{
    size_t zeros = 0;

    for (size_t i = 0; i < len && zeros < RECORD_HEADER_SIZE; i++) {
        zeros = data[i] == 0 ? zeros + 1 : 0;
    }
    return zeros == RECORD_HEADER_SIZE;
}

/* Whether the record with this number, expected at `data`, is missing from a
 * batch that was being written when power was lost. Blocks reach the disk in
 * any order, so later records of that batch may be there. A batch is written
 * only once the one before it is durable, so a good record of a later batch
 * means that this one is damaged instead. */
static bool
is_torn_batch(const uint8_t *data, size_t len, uint64_t number)
{
    size_t next = find_good_record(data, len, 1);

    if (next == len || !has_zero_run(data, next)) {
        return false;
    }
    while (next < len) {
        uint32_t position = RpBytes_Get32(data + next + 16) &
                            BATCH_POSITION_MAX;
        if (RpBytes_Get64(data + next + 8) - position > number) {
            return false;
        }
        next = find_good_record(data, len, next + 1);
    }
    return true;
}

/* Whether the bad record at `data` is a write that a crash cut off: no good
 * record follows it, and the data ends too early or in zeros, which are blocks
 * that the file system had not written. Any other bad record is damage. */
static bool
is_torn_tail(const uint8_t *data, size_t len, enum record_check check)
{
    if (find_good_record(data, len, 1) < len) {
        return false;
    }
    if (check == RECORD_TRUNCATED) {
        return true;
    }
    size_t zeros = 0;
    while (zeros < len && data[len - 1 - zeros] == 0) {
        zeros++;
    }
    return zeros == len || zeros >= RECORD_HEADER_SIZE;
}

static enum rp_code
check_header(const uint8_t *data, size_t len, const char *path,
             struct rp_error *error)
{
    if (len < HEADER_SIZE || memcmp(data, file_magic, sizeof file_magic) ||
        RpBytes_Get32(data + 12) != 0) {
        return RpError_Add(error, RP_ERR_CORRUPT, path,
                           "not a journal file, or its header is damaged");
    }
    if (RpBytes_Get32(data + 8) != RP_JOURNAL_FORMAT) {
        return RpError_Add(error, RP_ERR_FORMAT, path,
                           "unsupported journal format %u: this program "
                           "reads format %u",
                           RpBytes_Get32(data + 8), RP_JOURNAL_FORMAT);
    }
    return RP_OK;
}

/* Checks the content of a file and passes each record to `reader`, up to its
 * end or a torn tail. Fills in `report`, which is zero before. */
static enum rp_code
replay_records(const char *path, const uint8_t *data, size_t len,
               const struct rp_journal_reader *reader,
               struct rp_journal_report *report, struct rp_error *error)
{
    size_t offset = HEADER_SIZE;

    RP_RETURN_IF_ERROR(check_header(data, len, path, error));
    while (offset < len) {
        size_t size = 0;
        const uint8_t *at = data + offset;
        enum record_check check = check_record(at, len - offset, &size);
        bool in_order = check == RECORD_GOOD &&
                        RpBytes_Get64(at + 8) == report->records;
        if (check != RECORD_GOOD &&
            (is_torn_tail(at, len - offset, check) ||
             is_torn_batch(at, len - offset, report->records))) {
            report->torn_bytes = len - offset;
            break;
        }
        if (!in_order) {
            return RpError_Add(error, RP_ERR_CORRUPT, path,
                               "record %" G_GUINT64_FORMAT
                               " at byte %zu is damaged",
                               report->records, offset);
        }
        struct rp_record record = {
            .kind = at[16],
            .payload = {.data = (const char *)at + RECORD_HEADER_SIZE,
                        .len = size - RECORD_HEADER_SIZE}};
        if (reader) {
            RP_RETURN_IF_ERROR(reader->visit(reader->user, &record, error));
        }
        report->records++;
        offset += size;
    }
    report->bytes = offset;
    return RP_OK;
}

/* Adds the failed action with the text of errno to `error`. */
static enum rp_code
add_io_error(struct rp_error *error, const char *path, const char *action)
{
    return RpError_Add(error, RP_ERR_IO, path, "%s: %s", action,
                       g_strerror(errno));
}

static enum rp_code
sync_folder(const char *folder, struct rp_error *error)
{
    int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (fd < 0) {
        return add_io_error(error, folder, "cannot open folder");
    }
    int result = fsync(fd);
    close(fd);
    return result ? add_io_error(error, folder, "cannot sync folder") : RP_OK;
}

static enum rp_code
write_all(int fd, const uint8_t *data, size_t len, const char *path,
          struct rp_error *error)
{
    while (len) {
        ssize_t written = write(fd, data, len);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return add_io_error(error, path, "cannot write");
        }
        data += written;
        len -= (size_t)written;
    }
    return RP_OK;
}

static void
append_header(GByteArray *out)
{
    uint8_t header[HEADER_SIZE] = {0};

    memcpy(header, file_magic, sizeof file_magic);
    RpBytes_Put32(header + 8, RP_JOURNAL_FORMAT);
    g_byte_array_append(out, header, sizeof header);
}

/* Writes a new file beside the journal, syncs and locks it, and renames it to
 * the journal's name, so that a crash leaves either the old file or the new
 * one. Returns its descriptor, or -1. */
static int
replace_file(const char *folder, const char *path, const GByteArray *content,
             struct rp_error *error)
{
    gchar *new_path = g_build_filename(folder, TEMP_FILE_NAME, NULL);
    int fd = open(new_path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    enum rp_code code = RP_OK;

    if (fd < 0) {
        code = add_io_error(error, new_path, "cannot create");
    }
    if (code == RP_OK) {
        code = write_all(fd, content->data, content->len, new_path, error);
    }
    if (code == RP_OK && (fsync(fd) || flock(fd, LOCK_EX | LOCK_NB))) {
        code = add_io_error(error, new_path, "cannot sync and lock");
    }
    if (code == RP_OK && rename(new_path, path)) {
        code = add_io_error(error, path, "cannot replace");
    }
    if (code == RP_OK) {
        code = sync_folder(folder, error);
    }
    if (code != RP_OK && fd >= 0) {
        close(fd);
        /* What was written may be all the space that was left. */
        g_unlink(new_path);
    }
    g_free(new_path);
    return code == RP_OK ? fd : -1;
}

/* Opens and locks the journal's file; creates it if it is missing. Returns its
 * descriptor, or -1. */
static int
open_or_create(const char *folder, const char *path, struct rp_error *error)
{
    if (g_mkdir_with_parents(folder, FOLDER_MODE)) {
        add_io_error(error, folder, "cannot create folder");
        return -1;
    }
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0 && errno == ENOENT) {
        GByteArray *content = g_byte_array_new();
        append_header(content);
        fd = replace_file(folder, path, content, error);
        g_byte_array_free(content, TRUE);
        return fd;
    }
    if (fd < 0) {
        add_io_error(error, path, "cannot open");
        return -1;
    }
    if (flock(fd, LOCK_EX | LOCK_NB)) {
        RpError_Add(error, RP_ERR_IO, path, "in use by another process");
        close(fd);
        return -1;
    }
    return fd;
}

/* Reads a whole open file and sets `*len` to its size. Returns NULL on
 * failure; free the result with g_free. */
static uint8_t *
read_all(int fd, const char *path, size_t *len, struct rp_error *error)
{
    off_t size = lseek(fd, 0, SEEK_END);
    uint8_t *data = g_malloc(size > 0 ? (size_t)size : 1);
    size_t done = 0;

    while (size > 0 && done < (size_t)size) {
        ssize_t got = pread(fd, data + done, (size_t)size - done, (off_t)done);
        if (got <= 0) {
            add_io_error(error, path, "cannot read");
            g_free(data);
            return NULL;
        }
        done += (size_t)got;
    }
    *len = done;
    return data;
}

/* Replays the open file and truncates a torn tail, so that new records follow
 * the last good one. */
static enum rp_code
recover(struct rp_journal *journal, const struct rp_journal_reader *reader,
        struct rp_error *error)
{
    struct rp_journal_report report = {0};
    const char *path = journal->path->str;
    size_t len;
    uint8_t *data = read_all(journal->fd, path, &len, error);

    if (!data) {
        return RP_ERR_IO;
    }
    enum rp_code code = replay_records(path, data, len, reader, &report,
                                       error);
    g_free(data);
    RP_RETURN_IF_ERROR(code);
    if (report.torn_bytes &&
        ftruncate(journal->fd, (off_t)report.bytes) != 0) {
        return add_io_error(error, path, "cannot truncate the torn tail");
    }
    /* A process that was killed may have written these records and not synced
     * them. They count as stored from now on. */
    if (fsync(journal->fd) != 0) {
        return add_io_error(error, path, "cannot sync");
    }
    journal->size = report.bytes;
    journal->next_number = report.records;
    lseek(journal->fd, 0, SEEK_END);
    return RP_OK;
}

struct rp_journal *
RpJournal_Open(const char *folder, const struct rp_journal_reader *reader,
               struct rp_error *error)
{
    struct rp_journal *journal = g_new0(struct rp_journal, 1);
    gchar *path = g_build_filename(folder, FILE_NAME, NULL);

    journal->path = g_string_new(path);
    journal->folder = g_string_new(folder);
    journal->pending = g_byte_array_new();
    journal->fd = open_or_create(folder, path, error);
    g_free(path);
    if (journal->fd < 0 || recover(journal, reader, error) != RP_OK) {
        RpJournal_Close(journal);
        return NULL;
    }
    return journal;
}

void
RpJournal_Close(struct rp_journal *journal)
{
    if (!journal) {
        return;
    }
    if (journal->fd >= 0) {
        close(journal->fd);
    }
    g_string_free(journal->path, TRUE);
    g_string_free(journal->folder, TRUE);
    g_byte_array_free(journal->pending, TRUE);
    g_free(journal);
}

void
RpJournal_Append(struct rp_journal *journal, const struct rp_record *record)
{
    write_record(journal->pending, record, journal->next_number++,
                 journal->pending_records++);
}

enum rp_code
RpJournal_Sync(struct rp_journal *journal, struct rp_error *error)
{
    const char *path = journal->path->str;

    if (journal->failed) {
        return RpError_Add(error, RP_ERR_IO, path,
                           "journal refuses writes after an earlier "
                           "write or sync failure");
    }
    if (journal->pending->len == 0) {
        return RP_OK;
    }
    enum rp_code code = write_all(journal->fd, journal->pending->data,
                                  journal->pending->len, path, error);
    if (code == RP_OK && fdatasync(journal->fd)) {
        code = add_io_error(error, path, "cannot sync");
    }
    if (code != RP_OK) {
        journal->failed = true;
        return code;
    }
    journal->size += journal->pending->len;
    g_byte_array_set_size(journal->pending, 0);
    journal->pending_records = 0;
    return RP_OK;
}

enum rp_code
RpJournal_Rewrite(struct rp_journal *journal, const struct rp_record *records,
                  size_t count, struct rp_error *error)
{
    GByteArray *content = g_byte_array_new();

    if (journal->failed) {
        g_byte_array_free(content, TRUE);
        return RpError_Add(error, RP_ERR_IO, journal->path->str,
                           "journal refuses writes after an earlier "
                           "write or sync failure");
    }
    append_header(content);
    for (size_t i = 0; i < count; i++) {
        write_record(content, &records[i], i, 0);
    }
    int fd = replace_file(journal->folder->str, journal->path->str, content,
                          error);
    uint64_t size = content->len;
    g_byte_array_free(content, TRUE);
    if (fd < 0) {
        journal->failed = true;
        return RP_ERR_IO;
    }
    close(journal->fd);
    journal->fd = fd;
    journal->size = size;
    journal->next_number = count;
    g_byte_array_set_size(journal->pending, 0);
    journal->pending_records = 0;
    return RP_OK;
}

uint64_t
RpJournal_Size(const struct rp_journal *journal)
{
    return journal->size;
}

enum rp_code
RpJournal_Check(const char *folder, struct rp_journal_report *report,
                struct rp_error *error)
{
    gchar *path = g_build_filename(folder, FILE_NAME, NULL);
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    enum rp_code code = RP_ERR_IO;
    size_t len;

    memset(report, 0, sizeof *report);
    if (fd < 0) {
        add_io_error(error, path, "cannot open");
        g_free(path);
        return code;
    }
    uint8_t *data = read_all(fd, path, &len, error);
    if (data) {
        code = replay_records(path, data, len, NULL, report, error);
    }
    g_free(data);
    close(fd);
    g_free(path);
    return code;
}
