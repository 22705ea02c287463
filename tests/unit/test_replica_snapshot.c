/* Snapshots that a follower cannot use. */
#include "check.h"
#include "rp_replica.h"

#define LEADER 1
#define FOLLOWER 2

/* Guards against a leader that counts a replica as one that stores a snapshot
 * which it could not decode. */
static void
test_bad_snapshot_is_not_acknowledged(void **state)
{
    struct rp_replica *replica = RpReplica_Create(FOLLOWER, 2, 0);
    struct rp_msg msg = {.type = RP_MSG_SNAPSHOT,
                         .snapshot = {.from = LEADER,
                                      .to = FOLLOWER,
                                      .term = 1,
                                      .index = 7,
                                      .total = 3,
                                      .data = g_string_new("bad")}};
    bool reported = false;

    (void)state;
    RpReplica_Receive(replica, 1, &msg);
    GArray *actions = RpReplica_TakeActions(replica);
    for (guint i = 0; i < actions->len; i++) {
        const struct rp_replica_action *action = &g_array_index(
            actions, struct rp_replica_action, i);
        assert_int_not_equal(action->kind, RP_REPLICA_SEND);
        assert_int_not_equal(action->kind, RP_REPLICA_STORE_SNAPSHOT);
        reported = reported || action->kind == RP_REPLICA_REPORT_BAD_SNAPSHOT;
    }
    assert_true(reported);
    RpReplica_FreeActions(actions);
    RpMsg_Clear(&msg);
    RpReplica_Free(replica);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_bad_snapshot_is_not_acknowledged),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
