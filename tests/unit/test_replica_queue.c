/* What a leader queues for peers that do not answer: a control instance of
 * 80 MB holds the queues for all of them beside its own state. */
#include <string.h>

#include "check.h"
#include "rp_replica.h"

#define PEERS 4
#define ANSWERING 2 /* of them; with the leader they are a majority */
#define RUN_US (10 * RP_US_PER_SECOND)
#define TICK_US (20 * RP_US_PER_MS)
#define CHANGE_INTERVAL_US (500 * RP_US_PER_MS)
#define CHANGE_BYTES (350u << 10) /* a configuration of 1,450 addresses */
/* What may wait for one peer: a change, and heartbeats. */
#define QUEUE_BUDGET_BYTES (CHANGE_BYTES + (64u << 10))

struct group {
    struct rp_replica *leader;
    struct rp_replica *peers[PEERS];
    size_t sent_bytes[PEERS];
};

static GArray *
make_members(void)
{
    GArray *members = RpSchema_NewList(&rp_replica_member_schema);

    for (uint32_t id = 1; id <= 1 + PEERS; id++) {
        struct rp_replica_member member = {
            .id = id, .ip = id, .port = 1, .voter = 1};
        gchar *name = g_strdup_printf("control-%u", id);
        RpName_Set(&member.name, RpStr_FromC(name));
        g_free(name);
        g_array_append_val(members, member);
    }
    return members;
}

static void
start_group(struct group *group)
{
    GArray *members = make_members();

    *group = (struct group){.leader = RpReplica_Create(1, 1, 0)};
    RpReplica_SetMinVoters(group->leader, 1 + PEERS);
    RpReplica_BootstrapGroup(group->leader, members);
    for (uint32_t i = 0; i < PEERS; i++) {
        group->peers[i] = RpReplica_Create(2 + i, 2 + i, 0);
        RpReplica_BootstrapGroup(group->peers[i], members);
    }
    g_array_free(members, TRUE);
}

static void
free_group(struct group *group)
{
    RpReplica_Free(group->leader);
    for (size_t i = 0; i < PEERS; i++) {
        RpReplica_Free(group->peers[i]);
    }
}

/* Passes the replies of a peer on to the leader. */
static void
deliver_replies(struct group *group, struct rp_replica *peer, int64_t now)
{
    GArray *actions = RpReplica_TakeActions(peer);

    for (guint i = 0; i < actions->len; i++) {
        const struct rp_replica_action *action = &g_array_index(
            actions, struct rp_replica_action, i);
        if (action->kind == RP_REPLICA_SEND && action->to == 1) {
            RpReplica_Receive(group->leader, now, &action->msg);
        }
    }
    RpReplica_FreeActions(actions);
}

/* Delivers what the leader sends until it sends nothing more. All peers answer
 * until `answering` says how many of them go on; counts what is sent. */
static void
deliver(struct group *group, int64_t now, size_t answering)
{
    GArray *actions = RpReplica_TakeActions(group->leader);

    while (actions->len > 0) {
        for (guint i = 0; i < actions->len; i++) {
            const struct rp_replica_action *action = &g_array_index(
                actions, struct rp_replica_action, i);
            if (action->kind != RP_REPLICA_SEND) {
                continue;
            }
            size_t peer = action->to - 2;
            GString *bytes = g_string_new(NULL);
            RpMsg_Encode(&action->msg, bytes);
            group->sent_bytes[peer] += bytes->len;
            g_string_free(bytes, TRUE);
            if (peer < answering) {
                RpReplica_Receive(group->peers[peer], now, &action->msg);
                deliver_replies(group, group->peers[peer], now);
            }
        }
        RpReplica_FreeActions(actions);
        actions = RpReplica_TakeActions(group->leader);
    }
    RpReplica_FreeActions(actions);
}

static int64_t
elect_leader(struct group *group)
{
    int64_t now = 0;

    while (RpReplica_Role(group->leader) != RP_REPLICA_LEADER ||
           !RpReplica_IsFresh(group->leader, now)) {
        now += TICK_US;
        assert_true(now < 5 * RP_US_PER_SECOND);
        RpReplica_Tick(group->leader, now);
        deliver(group, now, PEERS);
    }
    return now;
}

/* Guards against a leader that queues the entries which a peer has not
 * acknowledged again with each heartbeat. */
static void
test_silent_peer_is_sent_entries_once(void **state)
{
    static struct group group;
    GString *change = g_string_new(NULL);
    uint64_t index = 0;
    unsigned changes = 0;

    (void)state;
    g_string_set_size(change, CHANGE_BYTES);
    memset(change->str, 'x', change->len);
    start_group(&group);
    int64_t start = elect_leader(&group);
    memset(group.sent_bytes, 0, sizeof group.sent_bytes);
    int64_t next_change = start;
    for (int64_t now = start; now < start + RUN_US; now += TICK_US) {
        if (now >= next_change) {
            next_change += CHANGE_INTERVAL_US;
            changes++;
            assert_int_equal(
                RpReplica_Propose(group.leader, now, change, &index), RP_OK);
        }
        RpReplica_Tick(group.leader, now);
        deliver(&group, now, ANSWERING);
    }
    assert_int_equal(RpReplica_CommitIndex(group.leader), index);
    for (size_t i = 0; i < PEERS; i++) {
        print_message("peer %zu of %d: %u changes, %zu bytes sent\n", i, PEERS,
                      changes, group.sent_bytes[i]);
        size_t copies = i < ANSWERING ? changes : 1;
        assert_true(group.sent_bytes[i] <=
                    copies * (size_t)CHANGE_BYTES +
                        (QUEUE_BUDGET_BYTES - CHANGE_BYTES));
    }
    g_string_free(change, TRUE);
    free_group(&group);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_silent_peer_is_sent_entries_once),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
