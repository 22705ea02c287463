/* Searches for the owner of a flow. */
#include <glib.h>

#include "check.h"
#include "rp_owner_search.h"

static struct rp_packet
flow_packet(unsigned flow)
{
    return (struct rp_packet){.key = {.src_ip = flow, .src_port = 1},
                              .ack = 500 + flow};
}

static GArray *
make_agents(unsigned count)
{
    GArray *agents = g_array_new(FALSE, FALSE, sizeof(struct rp_endpoint));

    for (unsigned i = 1; i <= count; i++) {
        const struct rp_endpoint agent = {.ip = i, .port = 1};
        g_array_append_val(agents, agent);
    }
    return agents;
}

static enum rp_search_result
answer(struct rp_owner_search *searches, int64_t now, uint32_t id,
       unsigned agent, enum rp_search_verdict verdict)
{
    struct rp_packet packet;

    return RpOwnerSearch_Answer(searches, now, id,
                                (struct rp_endpoint){.ip = agent, .port = 1},
                                verdict, &packet);
}

/* Only if every agent says that it does not own the flow, it has no owner. */
static void
test_results(void **state)
{
    struct rp_owner_search *searches = RpOwnerSearch_Create();
    GArray *agents = make_agents(2);
    struct rp_packet packet = flow_packet(1);
    struct rp_packet found;

    (void)state;
    uint32_t id = RpOwnerSearch_Begin(searches, 0, &packet, agents);
    assert_int_not_equal(id, 0);
    assert_int_equal(RpOwnerSearch_Begin(searches, 0, &packet, agents), 0);
    assert_int_equal(answer(searches, 1, id, 1, RP_SEARCH_NOT_OWNED),
                     RP_SEARCH_PENDING);
    /* A repeated answer, and one of an agent that was not asked. */
    assert_int_equal(answer(searches, 1, id, 1, RP_SEARCH_NOT_OWNED),
                     RP_SEARCH_PENDING);
    assert_int_equal(answer(searches, 1, id, 9, RP_SEARCH_NOT_OWNED),
                     RP_SEARCH_PENDING);
    assert_int_equal(
        RpOwnerSearch_Answer(searches, 1, id,
                             (struct rp_endpoint){.ip = 2, .port = 1},
                             RP_SEARCH_NOT_OWNED, &found),
        RP_SEARCH_NO_OWNER);
    assert_int_equal(found.ack, 501);
    assert_int_equal(answer(searches, 1, id, 2, RP_SEARCH_NOT_OWNED),
                     RP_SEARCH_ENDED);
    id = RpOwnerSearch_Begin(searches, 2, &packet, agents);
    assert_int_equal(answer(searches, 3, id, 1, RP_SEARCH_OWNS),
                     RP_SEARCH_ENDED);
    assert_int_equal(answer(searches, 3, id, 2, RP_SEARCH_NOT_OWNED),
                     RP_SEARCH_ENDED);
    id = RpOwnerSearch_Begin(searches, 4, &packet, agents);
    assert_int_equal(answer(searches, 5, id, 2, RP_SEARCH_UNSURE),
                     RP_SEARCH_ENDED);
    /* The last answer comes too late. */
    id = RpOwnerSearch_Begin(searches, 6, &packet, agents);
    answer(searches, 7, id, 1, RP_SEARCH_NOT_OWNED);
    assert_int_equal(
        answer(searches, 6 + RP_SEARCH_TIMEOUT_US, id, 2, RP_SEARCH_NOT_OWNED),
        RP_SEARCH_ENDED);
    assert_int_equal(RpOwnerSearch_Count(searches), 0);
    g_array_free(agents, TRUE);
    RpOwnerSearch_Free(searches);
}

/* The pattern of a loss of all power: the callers of thousands of flows that
 * died send at once. Searches stay within their rate, their number and the
 * number of agents that one may ask. */
static void
test_limits(void **state)
{
    struct rp_owner_search *searches = RpOwnerSearch_Create();
    GArray *agents = make_agents(3);
    GArray *too_many = make_agents(RP_SEARCH_MAX_AGENTS + 1);
    unsigned begun = 0;

    (void)state;
    struct rp_packet packet = flow_packet(0);
    assert_int_equal(RpOwnerSearch_Begin(searches, 0, &packet, too_many), 0);
    for (unsigned i = 1; i <= 4000; i++) {
        /* Two seconds, 2,000 packets each. No agent answers. */
        int64_t now = (int64_t)i * 500;
        packet = flow_packet(i);
        begun += RpOwnerSearch_Begin(searches, now, &packet, agents) != 0;
        assert_in_range(RpOwnerSearch_Count(searches), 0, RP_SEARCH_MAX);
    }
    assert_in_range(begun, RP_SEARCH_BURST,
                    RP_SEARCH_BURST + 2 * RP_SEARCH_RATE);
    g_array_free(agents, TRUE);
    g_array_free(too_many, TRUE);
    RpOwnerSearch_Free(searches);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_results),
        cmocka_unit_test(test_limits),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
