/* Loads that agents tell balancers: how they age, how they change the order of
 * a new flow's candidates, and what that does under load.
 *
 * The runs under load are in virtual time: many balancers place flows on the
 * same hosts at once, and each is told a host's load some time after it sent
 * a flow there. */
#include <glib.h>
#include <math.h>

#include "check.h"
#include "rp_admission.h"
#include "rp_balancer.h"
#include "rp_load_view.h"

#define MAX_HOSTS 24
#define BALANCERS 28
#define SLOTS 2
#define SERVICE_ID 1
#define SECOND RP_US_PER_SECOND
#define TICK RP_US_PER_MS

static struct rp_endpoint
agent_of(size_t host)
{
    return (struct rp_endpoint){.ip = 0x0a000001 + (uint32_t)host, .port = 1};
}

/* Makes a service with `count` hosts, of which the first `home` are in the
 * preferred zone, with the weight 8. */
static struct rp_table *
create_table_with_draining(size_t count, size_t home, size_t draining)
{
    struct rp_table *table = RpTable_Create();
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_service service = {
        .id = SERVICE_ID,
        .incarnation = 1,
        .address = 0x0a500001,
        .port = 7000,
        .members = RpSchema_NewList(&rp_msg_member_schema)};
    struct rp_name zone;

    RpName_Set(&zone, RpStr_FromC("home"));
    RpTable_PreferZone(table, &zone, 8);
    for (size_t i = 0; i < count; i++) {
        struct rp_msg_member member = {
            .agent_ip = agent_of(i).ip,
            .agent_port = 1,
            .slots = SLOTS,
            .state = i == draining ? RP_UPSTREAM_DRAINING : RP_UPSTREAM_READY};
        gchar *name = g_strdup_printf("up-%zu", i);
        RpName_Set(&member.upstream, RpStr_FromC(name));
        RpName_Set(&member.zone, RpStr_FromC(i < home ? "home" : "away"));
        g_free(name);
        g_array_append_val(service.members, member);
    }
    msg.table.revision = 1;
    msg.table.complete = 1;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    g_array_append_val(msg.table.services, service);
    RpTable_Apply(table, &msg.table);
    RpMsg_Clear(&msg);
    return table;
}

static struct rp_table *
create_table(size_t count, size_t home)
{
    return create_table_with_draining(count, home, SIZE_MAX);
}

static void
tell(struct rp_load_view *view, int64_t now, size_t host, uint8_t utilisation)
{
    const struct rp_load_note note = {.service_id = SERVICE_ID,
                                      .utilisation = utilisation};

    assert_true(RpLoadView_Put(view, now, agent_of(host), &note));
}

static uint32_t
expected(struct rp_load_view *view, int64_t now,
         const struct rp_service *service, size_t host)
{
    struct rp_load_means means = RpLoadView_Means(view, now, service);

    return RpLoadView_Utilisation(view, now, service, &service->members[host],
                                  &means);
}

/* What was told of a host moves to the mean of its zone; what was told of
 * another service's host at the same address does not count. */
static void
test_knowledge_ages(void **state)
{
    struct rp_table *table = create_table(4, 2);
    const struct rp_service *service = RpTable_FindById(table, SERVICE_ID);
    struct rp_load_view *view = RpLoadView_Create();
    const struct rp_load_note foreign = {.service_id = 7, .utilisation = 200};

    (void)state;
    assert_false(RpLoadView_Means(view, 0, service).known);
    tell(view, SECOND, 0, 120);
    /* The means may be 100 ms old. */
    assert_false(RpLoadView_Means(view, 0, service).known);
    assert_int_equal(expected(view, SECOND, service, 0), 120);
    assert_int_equal(expected(view, SECOND, service, 1), 120);
    assert_int_equal(expected(view, SECOND, service, 3), 120);
    tell(view, SECOND, 1, 40);
    tell(view, SECOND, 2, 10);
    assert_true(RpLoadView_Put(view, SECOND, agent_of(3), &foreign));
    assert_int_equal(expected(view, 2 * SECOND, service, 0), 110);
    assert_int_equal(expected(view, 2 * SECOND, service, 1), 50);
    assert_int_equal(expected(view, 2 * SECOND, service, 3), 10);
    /* The fresher report weighs more in the mean. */
    tell(view, 3 * SECOND, 1, 40);
    assert_int_equal(RpLoadView_Means(view, 3 * SECOND, service).home, 66);
    /* In the end nothing is known. */
    assert_false(RpLoadView_Means(view, 8 * SECOND, service).known);
    RpLoadView_Free(view);
    RpTable_Free(table);
}

/* A host that takes no new flows does not count in the mean of its zone. */
static void
test_draining_host_does_not_count(void **state)
{
    struct rp_table *table = create_table_with_draining(3, 2, 1);
    const struct rp_service *service = RpTable_FindById(table, SERVICE_ID);
    struct rp_load_view *view = RpLoadView_Create();

    (void)state;
    tell(view, 0, 0, 40);
    tell(view, 0, 1, RP_LOAD_MAX);
    assert_int_equal(RpLoadView_Means(view, 0, service).home, 40);
    assert_int_equal(RpLoadView_Means(view, 0, service).away, 40);
    RpLoadView_Free(view);
    RpTable_Free(table);
}

/* A view takes a bounded number of hosts; those not heard of for long give
 * way. */
static void
test_view_is_bounded(void **state)
{
    struct rp_load_view *view = RpLoadView_Create();
    const struct rp_load_note note = {.service_id = SERVICE_ID};

    (void)state;
    for (size_t i = 0; i < RP_LOAD_VIEW_MAX; i++) {
        assert_true(RpLoadView_Put(view, 0, agent_of(i), &note));
    }
    assert_false(RpLoadView_Put(view, 1, agent_of(RP_LOAD_VIEW_MAX), &note));
    assert_true(RpLoadView_Put(view, 1, agent_of(0), &note));
    assert_true(RpLoadView_Put(view, RP_LOAD_LIFETIME_US,
                               agent_of(RP_LOAD_VIEW_MAX), &note));
    assert_int_equal(RpLoadView_Count(view), 2);
    RpLoadView_Free(view);
}

/* The mean follows a load in about a second, also of short requests between
 * many updates, and a host that has just come counts as full at first. */
static void
test_average_follows_load(void **state)
{
    struct rp_load_average average;
    int64_t now = 5 * SECOND;

    (void)state;
    RpLoadAverage_Init(&average, now);
    assert_int_equal(RpLoadAverage_Utilisation(&average), RP_LOAD_UNIT);
    for (; now < 10 * SECOND; now += TICK) {
        /* A quarter of the time two of two slots are busy. */
        RpLoadAverage_Update(&average, now, now / TICK % 4 ? 0 : 2, 2);
    }
    assert_in_range(RpLoadAverage_Utilisation(&average), 30, 35);
    RpLoadAverage_Update(&average, now + SECOND, 2, 2);
    assert_in_range(RpLoadAverage_Utilisation(&average), 78, 82);
    RpLoadAverage_Update(&average, now + 100 * SECOND, 100, 2);
    assert_in_range(RpLoadAverage_Utilisation(&average), 252, RP_LOAD_MAX);
    /* Time that steps back changes nothing. */
    RpLoadAverage_Update(&average, now, 0, 2);
    assert_in_range(RpLoadAverage_Utilisation(&average), 252, RP_LOAD_MAX);
}

/* The part of 20,000 new flows whose first candidate is the host. */
static double
first_share(const struct rp_table *table, struct rp_load_view *view,
            int64_t now, bool spill, size_t from, size_t to)
{
    const struct rp_load_order order = {
        .view = view, .now = now, .spill = spill};
    unsigned hits = 0;

    for (uint32_t i = 0; i < 20000; i++) {
        struct rp_route route;
        const struct rp_packet packet = {
            .key = {.src_ip = i, .dst_ip = 0x0a500001, .dst_port = 7000},
            .flags = RP_TCP_SYN};
        RpBalancer_RouteByLoad(table, &order, &packet, &route);
        size_t host = route.chain.hop[0].ip - agent_of(0).ip;
        hits += host >= from && host < to;
    }
    return hits / 20000.0;
}

/* Candidates come first in proportion to their free capacity; a full one keeps
 * coming first for a few flows. */
static void
test_share_follows_free_capacity(void **state)
{
    struct rp_table *table = create_table(3, 3);
    struct rp_load_view *view = RpLoadView_Create();

    (void)state;
    tell(view, 0, 0, RP_LOAD_MAX);
    tell(view, 0, 1, 0);
    tell(view, 0, 2, 64);
    assert_float_equal(first_share(table, view, 0, false, 0, 1), 0.04, 0.01);
    assert_float_equal(first_share(table, view, 0, false, 1, 2), 0.64, 0.01);
    assert_float_equal(first_share(table, view, 0, false, 2, 3), 0.32, 0.01);
    /* Old knowledge spreads flows as no knowledge does. */
    double aged = first_share(table, view, RP_LOAD_LIFETIME_US - 1, false, 0,
                              1);
    RpLoadView_Free(view);
    view = RpLoadView_Create();
    assert_float_equal(aged, first_share(table, view, 0, false, 0, 1), 0.005);
    RpLoadView_Free(view);
    RpTable_Free(table);
}

/* Loads change the order of a new flow's candidates and not which they are, so
 * packets of the open flow have the owner among theirs. */
static void
test_candidates_stay(void **state)
{
    struct rp_table *table = create_table(12, 4);
    GRand *random = g_rand_new_with_seed(1);

    (void)state;
    for (uint32_t i = 0; i < 2000; i++) {
        struct rp_load_view *view = RpLoadView_Create();
        const struct rp_load_order order = {.view = view, .spill = i % 2};
        struct rp_packet packet = {
            .key = {.src_ip = i, .dst_ip = 0x0a500001, .dst_port = 7000},
            .flags = RP_TCP_SYN};
        struct rp_route opens;
        struct rp_route later;
        for (size_t host = 0; host < 12; host++) {
            tell(view, 0, host, (uint8_t)g_rand_int_range(random, 0, 256));
        }
        RpBalancer_RouteByLoad(table, &order, &packet, &opens);
        packet.flags = RP_TCP_ACK;
        RpBalancer_RouteByLoad(table, &order, &packet, &later);
        assert_int_equal(opens.chain.count, 3);
        assert_int_equal(later.chain.count, 3);
        for (size_t hop = 0; hop < 3; hop++) {
            assert_true(RpChain_Contains(&later.chain, opens.chain.hop[hop]));
        }
        RpLoadView_Free(view);
    }
    g_rand_free(random);
    RpTable_Free(table);
}

/* Later packets of a flow begin at the candidate that its first SYN went to,
 * also after a copy of the SYN, which goes to another one first. */
static void
test_choice_is_noted(void **state)
{
    struct rp_table *table = create_table(12, 4);
    struct rp_load_view *view = RpLoadView_Create();
    struct rp_owner_hints *hints = RpOwnerHints_Create();
    const struct rp_load_order order = {.view = view};
    unsigned noted = 0;

    (void)state;
    for (size_t host = 0; host < 12; host++) {
        tell(view, 0, host, host % 2 ? RP_LOAD_MAX : 0);
    }
    for (uint32_t i = 0; i < 200; i++) {
        struct rp_packet packet = {
            .key = {.src_ip = i, .dst_ip = 0x0a500001, .dst_port = 7000},
            .flags = RP_TCP_SYN};
        struct rp_endpoint first = {0};
        struct rp_route route;
        for (uint32_t copy = 0; copy < 3; copy++) {
            packet.syn_retransmits = copy;
            RpBalancer_RouteByLoad(table, &order, &packet, &route);
            RpBalancer_PreferOwner(table, hints, 0, &packet, &route);
            RpBalancer_NoteChoice(hints, 0, &packet, &route);
            first = copy == 0 ? route.chain.hop[0] : first;
        }
        noted += route.reason == RP_COUNT_ROUTED_BY_LOAD;
        packet.flags = RP_TCP_ACK;
        RpBalancer_RouteByLoad(table, &order, &packet, &route);
        RpBalancer_PreferOwner(table, hints, 0, &packet, &route);
        assert_true(RpEndpoint_Equal(route.chain.hop[0], first));
        assert_int_equal(route.chain.count, 3);
    }
    assert_in_range(noted, 40, 160);
    RpOwnerHints_Free(hints);
    RpLoadView_Free(view);
    RpTable_Free(table);
}

/* Demand that moves between data centres: the part of new flows that goes to
 * the other one grows with the load of the own one without a step, is next to
 * nothing while that is idle, and does not depend on how it came about. */
static void
test_spill_grows_with_load(void **state)
{
    struct rp_table *table = create_table(12, 4);
    double last = -1;

    (void)state;
    for (unsigned load = 0; load <= RP_LOAD_UNIT; load += 8) {
        struct rp_load_view *view = RpLoadView_Create();
        for (size_t i = 0; i < 12; i++) {
            tell(view, 0, i, (uint8_t)(i < 4 ? load : 32));
        }
        double share = first_share(table, view, 0, true, 4, 12);
        print_message("own zone at %u of %u: %.3f elsewhere\n", load,
                      RP_LOAD_UNIT, share);
        assert_true(share >= last - 0.005);
        assert_true(share <= last + 0.2 || last < 0);
        last = share;
        /* While the own zone is half busy, less than without loads. */
        assert_true(load > RP_LOAD_UNIT / 2 || share < 8.0 / (8 * 4 + 8));
        RpLoadView_Free(view);
    }
    assert_true(last > 0.6);
    struct rp_load_view *idle = RpLoadView_Create();
    tell(idle, 0, 0, 0);
    assert_true(first_share(table, idle, 0, true, 4, 12) < 0.01);
    RpLoadView_Free(idle);
    RpTable_Free(table);
}

/* How a balancer of the runs below chooses. */
enum choice {
    BY_RANK,   /* without loads */
    BY_LOAD,   /* the product's order */
    LEAST_TOLD /* the bad example: the least loaded of what is known */
};

struct load_run {
    enum choice choice;
    size_t hosts;
    int64_t delay;   /* from a host's decision to the balancer's knowledge */
    double load;     /* of all slots, by fresh flows */
    unsigned pinned; /* slots' worth of requests on long flows, all on the
                      * first quarter of the hosts */
    double slow;     /* how many times slower the last host is; 0: 1 */
    int64_t comes;   /* when the last host starts; 0: is there */
};

struct outcome {
    double mean_wait;  /* ms, of fresh flows */
    double waited;     /* part of fresh flows that waited */
    double passes;     /* for each flow */
    double overrun;    /* part of time in which a host has twice its slots */
    double last_share; /* the last host's part of the flows of the last 2 s */
};

struct sim_note {
    int64_t due;
    unsigned balancer;
    size_t host;
    uint8_t utilisation;
};

struct sim_host {
    int64_t ends[64]; /* of requests in slots or waiting; 0: free */
    struct rp_load_average average;
};

static unsigned
count_busy(struct sim_host *host, int64_t now, int64_t *first_free)
{
    int64_t last[SLOTS] = {0};
    unsigned busy = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(host->ends); i++) {
        if (host->ends[i] <= now) {
            host->ends[i] = 0;
            continue;
        }
        busy++;
        /* The latest SLOTS ends are when the slots become free. */
        size_t lowest = last[0] <= last[SLOTS - 1] ? 0 : SLOTS - 1;
        last[lowest] = MAX(last[lowest], host->ends[i]);
    }
    *first_free = busy < SLOTS ? now : MIN(last[0], last[SLOTS - 1]);
    return busy;
}

static void
add_work(struct sim_host *host, int64_t start, int64_t takes)
{
    for (size_t i = 0; i < G_N_ELEMENTS(host->ends); i++) {
        if (host->ends[i] == 0) {
            host->ends[i] = start + takes;
            return;
        }
    }
}

static size_t
least_told(struct rp_load_view *view, int64_t now,
           const struct rp_service *service, uint32_t seed)
{
    size_t best = 0;
    uint32_t lowest = UINT32_MAX;

    for (size_t i = 0; i < service->count; i++) {
        size_t host = (i + seed) % service->count;
        uint32_t load = expected(view, now, service, host);
        if (load < lowest) {
            lowest = load;
            best = host;
        }
    }
    return best;
}

#define RUN_LENGTH (20 * SECOND)
#define WORK_US (30 * RP_US_PER_MS)

/* Plays 20 s of new flows that many balancers place at once. */
static struct outcome
run_load(const struct load_run *run)
{
    GRand *random = g_rand_new_with_seed(1);
    struct rp_table *table = create_table(run->hosts, run->hosts);
    const struct rp_service *service = RpTable_FindById(table, SERVICE_ID);
    struct rp_load_view *views[BALANCERS];
    struct sim_host hosts[MAX_HOSTS] = {0};
    GQueue notes = G_QUEUE_INIT;
    struct outcome outcome = {0};
    unsigned flows = 0, waited = 0, passes = 0, overrun = 0, samples = 0;
    unsigned late = 0, late_last = 0;
    size_t last = run->hosts - 1;

    for (unsigned i = 0; i < BALANCERS; i++) {
        views[i] = RpLoadView_Create();
    }
    for (size_t i = 0; i < run->hosts; i++) {
        RpLoadAverage_Init(&hosts[i].average, i == last ? run->comes : 0);
    }
    double per_tick = run->load * (double)run->hosts * SLOTS * TICK / WORK_US;
    size_t quarter = run->hosts / 4;
    double pinned_per_tick = (double)run->pinned * TICK / WORK_US;
    for (int64_t now = TICK; now < RUN_LENGTH; now += TICK) {
        int64_t first_free;
        while (!g_queue_is_empty(&notes) &&
               ((struct sim_note *)g_queue_peek_head(&notes))->due <= now) {
            struct sim_note *note = g_queue_pop_head(&notes);
            tell(views[note->balancer], now, note->host, note->utilisation);
            g_free(note);
        }
        for (size_t i = 0; i < run->hosts; i++) {
            unsigned busy = count_busy(&hosts[i], now, &first_free);
            RpLoadAverage_Update(&hosts[i].average, now, busy, SLOTS);
            samples++;
            overrun += busy >= 2 * SLOTS;
        }
        while (g_rand_double(random) <
               pinned_per_tick / (pinned_per_tick + 1)) {
            struct sim_host *host =
                &hosts[(size_t)g_rand_int_range(random, 0, (gint32)quarter)];
            unsigned busy = count_busy(host, now, &first_free);
            (void)busy;
            add_work(host, first_free, WORK_US);
        }
        while (g_rand_double(random) < per_tick / (per_tick + 1)) {
            unsigned balancer = (unsigned)g_rand_int_range(random, 0,
                                                           BALANCERS);
            struct rp_load_view *view = views[balancer];
            const struct rp_load_order order = {.view = view, .now = now};
            struct rp_route route;
            const struct rp_packet packet = {
                .key = {.src_ip = g_rand_int(random),
                        .dst_ip = 0x0a500001,
                        .dst_port = 7000},
                .flags = RP_TCP_SYN};
            RpBalancer_RouteByLoad(table,
                                   run->choice == BY_LOAD ? &order : NULL,
                                   &packet, &route);
            if (run->choice == LEAST_TOLD) {
                route.chain.hop[0] = agent_of(
                    least_told(view, now, service, packet.key.src_ip));
            }
            size_t taken = 0;
            unsigned lowest = UINT32_MAX;
            for (unsigned i = 0; i < route.chain.count; i++) {
                size_t host = route.chain.hop[i].ip - agent_of(0).ip;
                bool there = host != last || now >= run->comes;
                unsigned busy = there ? count_busy(&hosts[host], now,
                                                   &first_free)
                                      : UINT32_MAX - 1;
                struct sim_note *note = g_new(struct sim_note, 1);
                *note = (struct sim_note){
                    .due = now + run->delay,
                    .balancer = balancer,
                    .host = host,
                    .utilisation = there ? RpLoadAverage_Utilisation(
                                               &hosts[host].average)
                                         : RP_LOAD_MAX};
                g_queue_push_tail(&notes, note);
                if (busy < lowest) {
                    lowest = busy;
                    taken = host;
                }
                if (busy < SLOTS) {
                    break;
                }
                passes++;
            }
            count_busy(&hosts[taken], now, &first_free);
            bool is_slow = taken == last && run->slow > 0;
            double takes = -log(1 - g_rand_double(random)) * WORK_US *
                           (is_slow ? run->slow : 1);
            add_work(&hosts[taken], first_free, (int64_t)takes);
            flows++;
            waited += first_free > now;
            outcome.mean_wait += (double)(first_free - now) / RP_US_PER_MS;
            late += now > RUN_LENGTH - 2 * SECOND;
            late_last += now > RUN_LENGTH - 2 * SECOND && taken == last;
        }
    }
    g_queue_clear_full(&notes, g_free);
    for (unsigned i = 0; i < BALANCERS; i++) {
        RpLoadView_Free(views[i]);
    }
    RpTable_Free(table);
    g_rand_free(random);
    outcome.mean_wait /= flows;
    outcome.waited = (double)waited / flows;
    outcome.passes = (double)passes / flows;
    outcome.overrun = (double)overrun / samples;
    outcome.last_share = (double)late_last / late;
    return outcome;
}

static struct outcome
play(const char *what, enum choice choice, struct load_run run)
{
    static const char *const names[] = {"by rank", "by load", "least told"};

    run.choice = choice;
    struct outcome outcome = run_load(&run);
    print_message("%s, %s, told after %.1f s: waited %.3f, mean wait %.2f ms, "
                  "passes %.3f, overrun %.4f, last host %.3f\n",
                  what, names[choice], (double)run.delay / SECOND,
                  outcome.waited, outcome.mean_wait, outcome.passes,
                  outcome.overrun, outcome.last_share);
    return outcome;
}

/* Many balancers choose at once with knowledge that is 0, 0.2 and 1 s old. */
static void
test_many_balancers_choose_at_once(void **state)
{
    static const int64_t delays[] = {0, 200 * RP_US_PER_MS, SECOND};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(delays); i++) {
        const struct load_run run = {
            .hosts = 12, .load = 0.6, .delay = delays[i]};
        struct outcome rank = play("even load", BY_RANK, run);
        struct outcome load = play("even load", BY_LOAD, run);
        struct outcome least = play("even load", LEAST_TOLD, run);
        assert_true(load.passes <= rank.passes * 1.05);
        assert_true(load.overrun <= rank.overrun * 1.2 + 0.0005);
        assert_true(least.passes > load.passes * 1.2);
    }
}

/* Long flows pinned to some hosts: fresh flows go where these are not. */
static void
test_long_flows_pinned(void **state)
{
    const struct load_run run = {
        .hosts = 12, .load = 0.4, .pinned = 4, .delay = 200 * RP_US_PER_MS};

    (void)state;
    struct outcome rank = play("pinned", BY_RANK, run);
    struct outcome load = play("pinned", BY_LOAD, run);
    assert_true(load.passes < rank.passes * 0.9);
    assert_true(load.waited < rank.waited);
}

/* A slow host, and one that has just come. */
static void
test_slow_and_new_hosts(void **state)
{
    const struct load_run slow = {
        .hosts = 12, .load = 0.5, .slow = 5, .delay = 200 * RP_US_PER_MS};
    const struct load_run comes = {.hosts = 12,
                                   .load = 0.7,
                                   .comes = RUN_LENGTH - 2 * SECOND,
                                   .delay = 200 * RP_US_PER_MS};

    (void)state;
    struct outcome rank = play("slow host", BY_RANK, slow);
    struct outcome load = play("slow host", BY_LOAD, slow);
    assert_true(load.passes < rank.passes);
    assert_true(load.last_share < 1.0 / 12);
    load = play("new host", BY_LOAD, comes);
    assert_true(load.last_share > 0.3 / 12 && load.last_share < 2.0 / 12);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_knowledge_ages),
        cmocka_unit_test(test_draining_host_does_not_count),
        cmocka_unit_test(test_view_is_bounded),
        cmocka_unit_test(test_average_follows_load),
        cmocka_unit_test(test_share_follows_free_capacity),
        cmocka_unit_test(test_candidates_stay),
        cmocka_unit_test(test_choice_is_noted),
        cmocka_unit_test(test_spill_grows_with_load),
        cmocka_unit_test(test_many_balancers_choose_at_once),
        cmocka_unit_test(test_long_flows_pinned),
        cmocka_unit_test(test_slow_and_new_hosts),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
