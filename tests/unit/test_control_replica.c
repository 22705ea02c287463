/* Tests a control instance's replica on a full disk: it must acknowledge
 * nothing, stop taking part, and recover once there is space. A limit on the
 * file size (RLIMIT_FSIZE) stands for the full disk. */
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sodium.h>
#include <sys/resource.h>

#include "check.h"
#include "control_replica.h"
#include "rp_clock.h"

/* Calls of the callbacks. */
struct calls {
    unsigned failed;
    unsigned restored;
    unsigned applied; /* applied editions */
};

static void
on_send(void *user, uint64_t to, const struct rp_msg *msg)
{
    (void)user;
    (void)to;
    (void)msg;
}

static void
on_applied(void *user, const struct rp_log_entry *entry,
           const struct rp_msg_change_reply *reply)
{
    struct calls *calls = user;

    (void)entry;
    calls->applied += reply->is_edition;
}

static void
on_restored(void *user)
{
    struct calls *calls = user;

    calls->restored++;
}

static void
on_failed(void *user, const struct rp_error *error)
{
    struct calls *calls = user;

    assert_int_not_equal(RpError_Count(error), 0);
    calls->failed++;
}

static void
on_member_change(void *user, const struct rp_replica_action *action)
{
    (void)user;
    (void)action;
}

static void
on_snapshot_refused(void *user, uint64_t index)
{
    (void)user;
    (void)index;
}

static const struct rp_control_replica_ops ops = {
    .send = on_send,
    .applied = on_applied,
    .restored = on_restored,
    .member_change = on_member_change,
    .snapshot_refused = on_snapshot_refused,
    .failed = on_failed};

static enum rp_code
propose_edition(struct rp_control_replica *replica, uint64_t version)
{
    struct rp_edition edition;
    uint64_t index;
    uint64_t term;

    RpEdition_Init(&edition);
    edition.version = version;
    GString *command = RpCatalog_EncodeEdition(&edition);
    enum rp_code code = RpControlReplica_Propose(replica, RpClock_Now(),
                                                 command, &index, &term);
    if (code == RP_OK) {
        RpControlReplica_RunActions(replica);
    }
    g_string_free(command, TRUE);
    RpEdition_Clear(&edition);
    return code;
}

static uint64_t
current_version(const struct rp_control_replica *replica)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        RpControlReplica_Catalog(replica));

    return edition ? edition->version : 0;
}

static void
limit_file_size(rlim_t bytes)
{
    struct rlimit limit;

    getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = MIN(bytes, limit.rlim_max);
    setrlimit(RLIMIT_FSIZE, &limit);
}

static void
test_full_disk(void **state)
{
    struct calls calls = {0};
    const struct rp_replica_member member = {.ip = 1, .port = 1, .voter = 1};
    gchar *folder = g_dir_make_tmp("rp-replica-XXXXXX", NULL);
    struct rp_control_replica *replica = RpControlReplica_Open(
        folder, 0, RpClock_Now(), &ops, &calls, NULL);

    (void)state;
    assert_int_equal(RpControlReplica_Create(replica, &member, NULL), RP_OK);
    int64_t later = RpClock_Now() + RP_US_PER_SECOND;
    RpControlReplica_Tick(replica, later);
    assert_int_equal(propose_edition(replica, 7), RP_OK);
    assert_int_equal(current_version(replica), 7);

    /* On a full disk nothing is acknowledged and proposals are refused. */
    limit_file_size(64);
    propose_edition(replica, 8);
    assert_int_equal(calls.failed, 1);
    assert_int_equal(current_version(replica), 7);
    assert_int_equal(propose_edition(replica, 9), RP_ERR_NO_LEADER);
    assert_int_equal(calls.applied, 1);

    /* It does not take part as long as the disk refuses writes, though the
     * journal can be read. */
    for (int i = 0; i < 3; i++) {
        later += 2 * RP_STORAGE_RETRY_US;
        RpControlReplica_Tick(replica, later);
        assert_int_equal(calls.failed, 2 + i);
        assert_false(RpControlReplica_IsWorking(replica));
        assert_int_equal(propose_edition(replica, 9), RP_ERR_NO_LEADER);
    }

    /* Once there is space, the replica rereads its journal and becomes the
     * leader. */
    limit_file_size(RLIM_INFINITY);
    calls.restored = 0;
    later += 2 * RP_STORAGE_RETRY_US;
    RpControlReplica_Tick(replica, later);
    assert_int_equal(calls.restored, 1);
    assert_true(RpControlReplica_IsWorking(replica));
    RpControlReplica_Tick(replica, later + RP_US_PER_SECOND);
    assert_int_equal(current_version(replica), 7);
    assert_int_equal(propose_edition(replica, 10), RP_OK);
    assert_int_equal(current_version(replica), 10);
    RpControlReplica_Close(replica);
    gchar *path = g_build_filename(folder, "journal", NULL);
    g_remove(path);
    g_rmdir(folder);
    g_free(path);
    g_free(folder);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_full_disk),
    };

    signal(SIGXFSZ, SIG_IGN);
    if (sodium_init() < 0) {
        return 1;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
