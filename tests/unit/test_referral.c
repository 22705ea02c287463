/* Tests where a control instance that cannot answer the operator itself sends
 * the operator. */
#include <glib.h>

#include "check.h"
#include "rp_referral.h"

#define SELF 0x0a010109
#define REPLICA 0x0a010201
#define LEADER 0x0a010202
#define PORT 7080

/* What an instance knows, and the decision that must follow. */
static const struct {
    const char *title;
    bool connected;
    uint32_t replica; /* 0: none */
    uint8_t leader_known;
    uint32_t leader; /* 0: none */
    enum rp_referral_kind kind;
    uint32_t ip;
} cases[] = {
    {"has never had a connection", false, 0, RP_LEADER_NOT_TOLD, 0,
     RP_REFERRAL_NOT_CONNECTED, 0},
    {"the connection is lost: the address is an old one", false, REPLICA,
     RP_LEADER_NOT_TOLD, 0, RP_REFERRAL_NOT_CONNECTED, 0},
    {"the connection is lost: the leader is an old one", false, REPLICA,
     RP_LEADER_KNOWN, LEADER, RP_REFERRAL_NOT_CONNECTED, 0},
    {"connected to a follower that has heard its leader", true, REPLICA,
     RP_LEADER_KNOWN, LEADER, RP_REFERRAL_TO_LEADER, LEADER},
    {"connected to the leader itself", true, LEADER, RP_LEADER_KNOWN, LEADER,
     RP_REFERRAL_TO_LEADER, LEADER},
    {"connected to a replica that is cut off or in an election", true, REPLICA,
     RP_LEADER_NONE, 0, RP_REFERRAL_NO_LEADER, 0},
    {"connected to a replica without a leader: the last one is an old one",
     true, REPLICA, RP_LEADER_NONE, LEADER, RP_REFERRAL_NO_LEADER, 0},
    {"connected to a replica of an earlier release", true, REPLICA,
     RP_LEADER_NOT_TOLD, 0, RP_REFERRAL_TO_REPLICA, REPLICA},
    {"the leader is said to be at this instance's own address", true, REPLICA,
     RP_LEADER_KNOWN, SELF, RP_REFERRAL_NO_LEADER, 0},
    {"a leader without an address", true, REPLICA, RP_LEADER_KNOWN, 0,
     RP_REFERRAL_NO_LEADER, 0},
    {"the replica is at this instance's own address", true, SELF,
     RP_LEADER_NOT_TOLD, 0, RP_REFERRAL_NO_LEADER, 0},
};

static struct rp_endpoint
at(uint32_t ip)
{
    return (struct rp_endpoint){.ip = ip, .port = ip ? PORT : 0};
}

/* Guards against redirects to instances that are dead, silent or do not lead:
 * the operator's last reads got "silence or no connection" (issue 34). */
static void
test_sends_operator_to_live_replica_only(void **state)
{
    size_t wrong = 0;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct rp_referral_view view = {
            .self_ip = SELF,
            .connected = cases[i].connected,
            .replica = at(cases[i].replica),
            .leader_known = cases[i].leader_known,
            .leader = at(cases[i].leader)};
        struct rp_referral referral = RpReferral_Choose(&view);
        if (referral.kind != cases[i].kind || referral.ip != cases[i].ip) {
            print_error("%s: kind=%d ip=%08x\n", cases[i].title,
                        (int)referral.kind, referral.ip);
            wrong++;
        }
    }
    assert_int_equal(wrong, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sends_operator_to_live_replica_only),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
