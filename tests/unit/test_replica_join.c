/* Requests to join, as the leader of a group of three handles them. */
#include <string.h>

#include "check.h"
#include "rp_replica.h"

#define LEADER 1
#define FOLLOWER 2
#define OTHER_FOLLOWER 3
#define NEWCOMER 9
#define NEW_ADDRESS 50

static struct rp_replica_member
make_member(uint64_t id, uint32_t ip, uint64_t named_after)
{
    struct rp_replica_member member = {
        .id = id, .ip = ip, .port = 1, .voter = 1};
    gchar *name = g_strdup_printf("control-%u", (unsigned)named_after);

    RpName_Set(&member.name, RpStr_FromC(name));
    g_free(name);
    return member;
}

/* Answers what the replica sends as a peer that grants and stores all. */
static void
answer_all(struct rp_replica *replica, int64_t now)
{
    GArray *actions = RpReplica_TakeActions(replica);

    for (guint i = 0; i < actions->len; i++) {
        const struct rp_replica_action *action = &g_array_index(
            actions, struct rp_replica_action, i);
        struct rp_msg reply = {.type = RP_MSG_NONE};
        if (action->kind != RP_REPLICA_SEND) {
            continue;
        }
        if (action->msg.type == RP_MSG_VOTE) {
            reply.type = RP_MSG_VOTE_REPLY;
            reply.vote_reply = (struct rp_msg_vote_reply){
                .from = action->to,
                .to = LEADER,
                .term = action->msg.vote.term,
                .kind = action->msg.vote.kind,
                .granted = true};
        }
        else if (action->msg.type == RP_MSG_APPEND) {
            const struct rp_msg_append *append = &action->msg.append;
            reply.type = RP_MSG_APPEND_REPLY;
            reply.append_reply = (struct rp_msg_append_reply){
                .from = action->to,
                .to = LEADER,
                .term = append->term,
                .round = append->round,
                .accepted = true,
                .match = append->previous_index + append->entries->len};
        }
        RpReplica_Receive(replica, now, &reply);
    }
    RpReplica_FreeActions(actions);
}

/* Returns a leader with two followers that has committed an entry. */
static struct rp_replica *
make_leader(int64_t *now)
{
    struct rp_replica *replica = RpReplica_Create(LEADER, 1, 0);
    GArray *members = RpSchema_NewList(&rp_replica_member_schema);

    for (uint32_t id = LEADER; id <= OTHER_FOLLOWER; id++) {
        const struct rp_replica_member member = make_member(id, id, id);
        g_array_append_val(members, member);
    }
    RpReplica_BootstrapGroup(replica, members);
    g_array_free(members, TRUE);
    *now = 0;
    while (RpReplica_Role(replica) != RP_REPLICA_LEADER ||
           !RpReplica_IsFresh(replica, *now)) {
        *now += 20 * RP_US_PER_MS;
        assert_true(*now < 5 * RP_US_PER_SECOND);
        RpReplica_Tick(replica, *now);
        answer_all(replica, *now);
    }
    return replica;
}

/* A request, and the members afterwards as "id@ip", a learner with "?". */
static const struct {
    const char *name;
    uint64_t id;
    uint32_t ip;
    uint64_t named_after;
    const char *members;
} joins[] = {
    {"a member at its address", FOLLOWER, 2, 2, "1@1 2@2 3@3"},
    {"a member with a new name at a new address", FOLLOWER, NEW_ADDRESS, 7,
     "1@1 2@50 3@3"},
    {"a member at the address of another", FOLLOWER, 3, 7, "1@1 2@3 3@3"},
    {"the leader at a new address", LEADER, NEW_ADDRESS, 1, "1@50 2@2 3@3"},
    {"a new replica", NEWCOMER, NEW_ADDRESS, 9, "1@1 2@2 3@3 9@50?"},
    {"a new replica at a member's address", NEWCOMER, 2, 9, "1@1 3@3 9@2?"},
    {"a new replica with a member's name", NEWCOMER, NEW_ADDRESS, 3,
     "1@1 2@2 9@50?"},
    {"a new replica at the leader's address", NEWCOMER, 1, 9, "1@1 2@2 3@3"},
};

static GString *
format_members(const struct rp_replica *replica)
{
    const GArray *members = RpReplica_Members(replica);
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        g_string_append_printf(text, "%s%u@%u%s", i ? " " : "",
                               (unsigned)member->id, member->ip,
                               member->voter ? "" : "?");
    }
    return text;
}

/* Guards against a join request that changes another member than the one with
 * its id, and a replaced disk that leaves the group one member short until the
 * request is repeated. */
static void
test_join_changes_the_member_with_its_id(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(joins); i++) {
        int64_t now;
        struct rp_replica *leader = make_leader(&now);
        const struct rp_replica_member member = make_member(
            joins[i].id, joins[i].ip, joins[i].named_after);
        print_message("%s\n", joins[i].name);
        RpReplica_HandleJoin(leader, now, &member, true);
        GString *members = format_members(leader);
        assert_string_equal(members->str, joins[i].members);
        g_string_free(members, TRUE);
        RpReplica_Free(leader);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_join_changes_the_member_with_its_id),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
