/* Tests of the journal: which records survive a crash at any byte, what is
 * reported as damage, and that a failed sync is final. */
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <signal.h>
#include <unistd.h>

#include "check.h"
#include "rp_journal.h"

static unsigned syncs; /* calls of fsync and fdatasync */

/* In place of the C library's functions. */
int
fsync(int fd)
{
    syncs++;
    return (int)syscall(SYS_fsync, fd);
}

int
fdatasync(int fd)
{
    syncs++;
    return (int)syscall(SYS_fdatasync, fd);
}

/* Appends a replayed record to a text such as "1:alpha 2:beta". */
static enum rp_code
append_to_text(void *user, const struct rp_record *record,
               struct rp_error *error)
{
    GString *seen = user;

    (void)error;
    g_string_append_printf(seen, "%s%u:%.*s", seen->len ? " " : "",
                           record->kind, (int)record->payload.len,
                           record->payload.data);
    return RP_OK;
}

/* The data folder of one test, and the records that the last replay read. */
struct fixture {
    gchar *folder;
    gchar *file;
    GString *seen;
};

static int
setup(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    fixture->folder = g_dir_make_tmp("rp-journal-XXXXXX", NULL);
    fixture->file = g_build_filename(fixture->folder, "journal", NULL);
    fixture->seen = g_string_new(NULL);
    *state = fixture;
    return 0;
}

static int
teardown(void **state)
{
    struct fixture *fixture = *state;

    g_remove(fixture->file);
    g_rmdir(fixture->folder);
    g_free(fixture->folder);
    g_free(fixture->file);
    g_string_free(fixture->seen, TRUE);
    g_free(fixture);
    return 0;
}

static struct rp_journal *
open_journal(struct fixture *fixture, struct rp_error *error)
{
    g_string_truncate(fixture->seen, 0);
    const struct rp_journal_reader reader = {.visit = append_to_text,
                                             .user = fixture->seen};
    return RpJournal_Open(fixture->folder, &reader, error);
}

static void
append(struct rp_journal *journal, uint8_t kind, const char *text)
{
    const struct rp_record record = {.kind = kind,
                                     .payload = RpStr_FromC(text)};

    RpJournal_Append(journal, &record);
}

/* Writes alpha, beta and gamma, each with its own sync. */
static void
write_three(struct fixture *fixture)
{
    struct rp_journal *journal = open_journal(fixture, NULL);

    assert_non_null(journal);
    append(journal, 1, "alpha");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
    append(journal, 2, "beta");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
    append(journal, 3, "gamma");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
    RpJournal_Close(journal);
}

static void
test_reopen(void **state)
{
    struct fixture *fixture = *state;

    write_three(fixture);
    struct rp_journal *journal = open_journal(fixture, NULL);
    assert_string_equal(fixture->seen->str, "1:alpha 2:beta 3:gamma");
    append(journal, 4, "delta");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
    RpJournal_Close(journal);
    RpJournal_Close(open_journal(fixture, NULL));
    assert_string_equal(fixture->seen->str, "1:alpha 2:beta 3:gamma 4:delta");
}

/* A file cut at any byte of its last record keeps the records before it and
 * accepts new ones. */
static void
test_cut_at_every_byte(void **state)
{
    struct fixture *fixture = *state;
    gchar *content;
    gsize len;
    const size_t last = 32 + 5; /* header and "gamma" */

    write_three(fixture);
    assert_true(g_file_get_contents(fixture->file, &content, &len, NULL));
    for (size_t cut = len - last; cut < len; cut++) {
        assert_true(
            g_file_set_contents(fixture->file, content, (gssize)cut, NULL));
        struct rp_journal *journal = open_journal(fixture, NULL);
        assert_non_null(journal);
        assert_string_equal(fixture->seen->str, "1:alpha 2:beta");
        append(journal, 9, "after");
        assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
        RpJournal_Close(journal);
        RpJournal_Close(open_journal(fixture, NULL));
        assert_string_equal(fixture->seen->str, "1:alpha 2:beta 9:after");
    }
    g_free(content);
}

/* A last record that reads as zeros, because the file system never wrote its
 * blocks, counts as torn. */
static void
test_zero_tail(void **state)
{
    struct fixture *fixture = *state;
    gchar *content;
    gsize len;

    write_three(fixture);
    assert_true(g_file_get_contents(fixture->file, &content, &len, NULL));
    memset(content + len - 37, 0, 37);
    assert_true(
        g_file_set_contents(fixture->file, content, (gssize)len, NULL));
    struct rp_journal *journal = open_journal(fixture, NULL);
    assert_non_null(journal);
    assert_string_equal(fixture->seen->str, "1:alpha 2:beta");
    RpJournal_Close(journal);
    g_free(content);
}

/* Writes three more records after alpha, beta and gamma with one sync. Returns
 * the content of the file; free it with g_free. */
static gchar *
write_batch(struct fixture *fixture, gsize *len)
{
    gchar *content;

    write_three(fixture);
    struct rp_journal *journal = open_journal(fixture, NULL);
    append(journal, 4, "first of a batch");
    append(journal, 5, "second of a batch");
    append(journal, 6, "third of a batch");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
    RpJournal_Close(journal);
    assert_true(g_file_get_contents(fixture->file, &content, len, NULL));
    return content;
}

/* Sizes in bytes of the records of write_batch, headers included. */
#define BATCH_FIRST (32 + 16)
#define BATCH_SECOND (32 + 17)
#define BATCH_THIRD (32 + 16)

/* A power loss during the write of a batch leaves any of its blocks unwritten,
 * in any order. The records before the gap are kept, and the journal accepts
 * new ones. */
static void
test_hole_in_last_batch(void **state)
{
    static const struct {
        size_t from_end;
        size_t size;
        const char *kept;
    } holes[] = {
        {BATCH_FIRST + BATCH_SECOND + BATCH_THIRD, BATCH_FIRST,
         "1:alpha 2:beta 3:gamma"},
        {BATCH_SECOND + BATCH_THIRD, BATCH_SECOND,
         "1:alpha 2:beta 3:gamma 4:first of a batch"},
        {BATCH_SECOND + BATCH_THIRD + 8, 40, "1:alpha 2:beta 3:gamma"},
    };
    struct fixture *fixture = *state;
    gsize len;
    gchar *content = write_batch(fixture, &len);

    for (size_t i = 0; i < G_N_ELEMENTS(holes); i++) {
        gchar *torn = g_memdup2(content, len);
        memset(torn + len - holes[i].from_end, 0, holes[i].size);
        assert_true(
            g_file_set_contents(fixture->file, torn, (gssize)len, NULL));
        struct rp_journal *journal = open_journal(fixture, NULL);
        assert_non_null(journal);
        assert_string_equal(fixture->seen->str, holes[i].kept);
        append(journal, 9, "after");
        assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
        RpJournal_Close(journal);
        struct rp_journal_report report;
        assert_int_equal(RpJournal_Check(fixture->folder, &report, NULL),
                         RP_OK);
        assert_int_equal(report.torn_bytes, 0);
        g_free(torn);
    }
    g_free(content);
}

/* A gap before the last batch is damage, because that data was synced; so is a
 * flipped bit in the last batch. */
static void
test_hole_before_last_batch(void **state)
{
    struct fixture *fixture = *state;
    gsize len;
    gchar *content = write_batch(fixture, &len);
    const size_t batch = BATCH_FIRST + BATCH_SECOND + BATCH_THIRD;

    memset(content + len - batch - 37, 0, 37);
    assert_true(
        g_file_set_contents(fixture->file, content, (gssize)len, NULL));
    assert_null(open_journal(fixture, NULL));
    g_free(content);
    g_remove(fixture->file);
    content = write_batch(fixture, &len);
    for (size_t i = len - batch; i < len; i++) {
        content[i] ^= 0x10;
        assert_true(
            g_file_set_contents(fixture->file, content, (gssize)len, NULL));
        assert_null(open_journal(fixture, NULL));
        content[i] ^= 0x10;
    }
    g_free(content);
}

/* One flipped bit anywhere is reported as damage; no record is dropped
 * silently. */
static void
test_every_flipped_bit_is_damage(void **state)
{
    struct fixture *fixture = *state;
    gchar *content;
    gsize len;

    write_three(fixture);
    assert_true(g_file_get_contents(fixture->file, &content, &len, NULL));
    for (size_t i = 0; i < len; i++) {
        content[i] ^= 0x10;
        assert_true(
            g_file_set_contents(fixture->file, content, (gssize)len, NULL));
        struct rp_error error;
        RpError_Init(&error);
        assert_null(open_journal(fixture, &error));
        assert_int_equal(RpError_Count(&error), 1);
        struct rp_journal_report report;
        assert_int_not_equal(RpJournal_Check(fixture->folder, &report, NULL),
                             RP_OK);
        RpError_Clear(&error);
        content[i] ^= 0x10;
    }
    g_free(content);
}

static void
test_rewrite(void **state)
{
    struct fixture *fixture = *state;
    const struct rp_record snapshot = {.kind = 7,
                                       .payload = RP_STR("snapshot")};

    write_three(fixture);
    struct rp_journal *journal = open_journal(fixture, NULL);
    uint64_t before = RpJournal_Size(journal);
    assert_int_equal(RpJournal_Rewrite(journal, &snapshot, 1, NULL), RP_OK);
    assert_true(RpJournal_Size(journal) < before);
    append(journal, 8, "next");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_OK);
    RpJournal_Close(journal);
    RpJournal_Close(open_journal(fixture, NULL));
    assert_string_equal(fixture->seen->str, "7:snapshot 8:next");
}

/* A second process cannot open the same folder. */
static void
test_folder_is_locked(void **state)
{
    struct fixture *fixture = *state;
    struct rp_error error;
    struct rp_journal *journal = open_journal(fixture, NULL);

    RpError_Init(&error);
    assert_null(open_journal(fixture, &error));
    assert_string_equal(RpError_Get(&error, 0)->text->str,
                        "in use by another process");
    RpError_Clear(&error);
    RpJournal_Close(journal);
}

/* On a full disk, simulated by a file size limit, the sync fails and the
 * journal refuses every later sync. */
static void
test_failed_write_is_final(void **state)
{
    struct fixture *fixture = *state;
    struct rlimit old_limit;
    struct rlimit small_limit;
    struct rp_journal *journal = open_journal(fixture, NULL);

    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &old_limit);
    small_limit = old_limit;
    small_limit.rlim_cur = 64;
    append(journal, 1, "this record does not fit into the limit any more");
    setrlimit(RLIMIT_FSIZE, &small_limit);
    enum rp_code code = RpJournal_Sync(journal, NULL);
    setrlimit(RLIMIT_FSIZE, &old_limit);
    assert_int_equal(code, RP_ERR_IO);
    append(journal, 2, "late");
    assert_int_equal(RpJournal_Sync(journal, NULL), RP_ERR_IO);
    RpJournal_Close(journal);
    journal = open_journal(fixture, NULL);
    assert_string_equal(fixture->seen->str, "");
    RpJournal_Close(journal);
}

/* Guards against records that are read back though they are only in the page
 * cache: the process that wrote them was killed before its sync, and what is
 * built on them is lost with the power. */
static void
test_records_read_back_are_durable(void **state)
{
    struct fixture *fixture = *state;

    write_three(fixture);
    syncs = 0;
    RpJournal_Close(open_journal(fixture, NULL));
    assert_string_equal(fixture->seen->str, "1:alpha 2:beta 3:gamma");
    assert_int_equal(syncs, 1);
}

/* Guards against a failed rewrite whose partial file keeps the disk full. */
static void
test_failed_rewrite_frees_its_space(void **state)
{
    struct fixture *fixture = *state;
    struct rlimit old_limit;
    struct rlimit small_limit;
    gchar *partial = g_build_filename(fixture->folder, "journal.new", NULL);

    write_three(fixture);
    struct rp_journal *journal = open_journal(fixture, NULL);
    const struct rp_record record = {
        .kind = 1,
        .payload = RP_STR("this record does not fit into the limit any more")};
    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &old_limit);
    small_limit = old_limit;
    small_limit.rlim_cur = 64;
    setrlimit(RLIMIT_FSIZE, &small_limit);
    enum rp_code code = RpJournal_Rewrite(journal, &record, 1, NULL);
    setrlimit(RLIMIT_FSIZE, &old_limit);
    assert_int_equal(code, RP_ERR_IO);
    assert_false(g_file_test(partial, G_FILE_TEST_EXISTS));
    RpJournal_Close(journal);
    RpJournal_Close(open_journal(fixture, NULL));
    assert_string_equal(fixture->seen->str, "1:alpha 2:beta 3:gamma");
    g_free(partial);
}

int
main(void)
{
#define TEST(function)                                                        \
    cmocka_unit_test_setup_teardown(function, setup, teardown)
    const struct CMUnitTest tests[] = {
        TEST(test_reopen),
        TEST(test_cut_at_every_byte),
        TEST(test_zero_tail),
        TEST(test_hole_in_last_batch),
        TEST(test_hole_before_last_batch),
        TEST(test_every_flipped_bit_is_damage),
        TEST(test_rewrite),
        TEST(test_folder_is_locked),
        TEST(test_failed_write_is_final),
        TEST(test_records_read_back_are_durable),
        TEST(test_failed_rewrite_frees_its_space),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
