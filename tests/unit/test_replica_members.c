/* Replaced instances: within the time in which users expect a replacement to
 * catch up, the group must again tolerate all the failures that it is built
 * for. Each run replaces instances several times, and after each checks the
 * members and then stops as many instances as the group must tolerate. */
#include <string.h>

#include "replica_sim.h"
#include "seeds.h"

#define SETTLE_STEPS 150
#define REPLACEMENTS 3 /* per run, one after the other */
#define PAUSE_STEPS 50 /* from the loss of a machine to its replacement */
/* Users expect service again 4 s after a failure; the failures last longer. */
#define SERVICE_STEPS (4 * RP_US_PER_SECOND / STEP_US)
#define FREEZE_STEPS (2300 * RP_US_PER_MS / STEP_US)
#define LOSS_STEPS (SERVICE_STEPS + 50)
#define DEFAULT_SEEDS 5

enum how {
    HOW_GONE,    /* lost for good, replaced at another address */
    HOW_PLANNED, /* the same, but the replacement starts first */
    HOW_WIPED,   /* returns at its address with an empty disk */
    HOW_FROZEN   /* stands still until the group has removed it */
};

/* Further seeds that each found a fault once. */
static const uint32_t extra_seeds[] = {12, 20};

/* The groups and how their instances are replaced. */
static const struct scenario {
    const char *name;
    unsigned instances;
    unsigned failures; /* that the group must tolerate */
    unsigned at_once;  /* instances replaced at the same time */
    enum how how;
    int64_t catch_up_us; /* users' bound, from the replacement's start */
} scenarios[] = {
    {"3, one gone", 3, 1, 1, HOW_GONE, 4 * RP_US_PER_SECOND},
    {"3, planned", 3, 1, 1, HOW_PLANNED, 4 * RP_US_PER_SECOND},
    {"3, wiped", 3, 1, 1, HOW_WIPED, 4 * RP_US_PER_SECOND},
    {"4, one gone", 4, 1, 1, HOW_GONE, 4 * RP_US_PER_SECOND},
    {"4, planned", 4, 1, 1, HOW_PLANNED, 4 * RP_US_PER_SECOND},
    {"4, wiped", 4, 1, 1, HOW_WIPED, 4 * RP_US_PER_SECOND},
    {"4, one frozen", 4, 1, 1, HOW_FROZEN, 4 * RP_US_PER_SECOND},
    {"5, two gone", 5, 2, 2, HOW_GONE, 6 * RP_US_PER_SECOND},
    {"5, two planned", 5, 2, 2, HOW_PLANNED, 6 * RP_US_PER_SECOND},
    {"5, two wiped", 5, 2, 2, HOW_WIPED, 6 * RP_US_PER_SECOND},
    {"6, two gone", 6, 2, 2, HOW_GONE, 6 * RP_US_PER_SECOND},
    {"6, two planned", 6, 2, 2, HOW_PLANNED, 6 * RP_US_PER_SECOND},
    {"6, two wiped", 6, 2, 2, HOW_WIPED, 6 * RP_US_PER_SECOND},
    {"6, two frozen", 6, 2, 2, HOW_FROZEN, 6 * RP_US_PER_SECOND},
};

static const struct scenario *scenario; /* the one that runs */

/* Chooses `count` different running instances. */
static void
choose_running(struct sim *sim, unsigned count, unsigned *chosen)
{
    for (unsigned i = 0; i < count;) {
        unsigned candidate = (unsigned)sim_random_below(
            sim, (int)sim->instance_count);
        bool taken = !sim_is_running(sim, candidate);
        for (unsigned j = 0; j < i; j++) {
            taken = taken || chosen[j] == candidate;
        }
        if (!taken) {
            chosen[i++] = candidate;
        }
    }
}

static void
add_replacements(struct sim *sim, unsigned *next_instance)
{
    for (unsigned i = 0; i < scenario->at_once; i++) {
        sim_add_instance(sim, (*next_instance)++);
    }
}

/* Replaces instances. Returns when the replacements started. */
static int64_t
replace(struct sim *sim, unsigned *next_instance)
{
    unsigned old[MAX_INSTANCES] = {0};
    int64_t started = sim->now; /* of a planned replacement */

    choose_running(sim, scenario->at_once, old);
    if (scenario->how == HOW_PLANNED) {
        add_replacements(sim, next_instance);
        sim_run(sim, PAUSE_STEPS);
    }
    for (unsigned i = 0; i < scenario->at_once; i++) {
        if (scenario->how == HOW_WIPED) {
            sim_lose_disk(sim, old[i]);
            sim->instances[old[i]].down_steps = PAUSE_STEPS;
        }
        else if (scenario->how == HOW_FROZEN) {
            sim->instances[old[i]].frozen_steps = FREEZE_STEPS;
        }
        else {
            sim_remove_instance(sim, old[i]);
        }
    }
    if (scenario->how == HOW_FROZEN) {
        sim_run(sim, FREEZE_STEPS);
        started = sim->now;
    }
    else if (scenario->how != HOW_PLANNED) {
        sim_run(sim, PAUSE_STEPS);
        started = sim->now;
    }
    if (scenario->how == HOW_GONE) {
        add_replacements(sim, next_instance);
    }
    return started;
}

static const struct instance *
find_leader(const struct sim *sim)
{
    for (unsigned i = 0; i < sim->instance_count; i++) {
        const struct instance *instance = &sim->instances[i];
        if (sim_is_running(sim, i) &&
            RpReplica_Role(instance->replica) == RP_REPLICA_LEADER) {
            return instance;
        }
    }
    return NULL;
}

/* Checks that the group tolerates the failures that it is built for, and that
 * so many copies of each entry exist that it may lose as many disks. */
static void
check_members(struct sim *sim)
{
    const struct instance *leader = find_leader(sim);

    CHECK(sim,
          leader && RpReplica_FailuresTolerated(
                        leader->replica, sim_instance_clock(sim, leader)) >=
                        (int)scenario->failures,
          "the group tolerates fewer failures than before, or has no leader");
    CHECK(sim,
          leader && RpReplica_Quorum(leader->replica) > scenario->failures,
          "entries are stored on too few disks");
}

/* Stops as many instances as the group must tolerate, for a while, and checks
 * that it goes on acknowledging commands. */
static void
check_loss(struct sim *sim)
{
    unsigned stopped[MAX_INSTANCES] = {0};

    choose_running(sim, scenario->failures, stopped);
    for (unsigned i = 0; i < scenario->failures; i++) {
        sim_stop_instance(sim, stopped[i]);
        sim->instances[stopped[i]].down_steps = LOSS_STEPS;
    }
    sim_run(sim, SERVICE_STEPS);
    unsigned before = g_hash_table_size(sim->acknowledged);
    sim_run(sim, LOSS_STEPS - SERVICE_STEPS);
    CHECK(sim, g_hash_table_size(sim->acknowledged) > before,
          "no command is acknowledged after a loss that the group tolerates");
}

static unsigned
run_seed(uint32_t seed)
{
    static struct sim sim;
    unsigned next_instance = scenario->instances;

    memset(&sim, 0, sizeof sim);
    sim.program = "test_replica_members";
    sim.is_group = true;
    sim.min_voters = 2 * scenario->failures + 1;
    sim.initial_count = scenario->instances;
    sim.instance_count = scenario->instances +
                         scenario->at_once * REPLACEMENTS;
    sim_start(&sim, seed);
    sim_run(&sim, SETTLE_STEPS);
    for (unsigned i = 0; i < REPLACEMENTS; i++) {
        int64_t started = replace(&sim, &next_instance);
        while (sim.now < started + scenario->catch_up_us) {
            sim_step(&sim);
        }
        check_members(&sim);
        check_loss(&sim);
        sim_run(&sim, SETTLE_STEPS + sim_random_below(&sim, PAUSE_STEPS));
    }
    unsigned acknowledged = g_hash_table_size(sim.acknowledged);
    sim_end(&sim);
    return acknowledged;
}

/* Guards against a dead voter that is kept beside its replacement, so that the
 * next loss leaves no quorum. */
static void
test_replaced_voter_is_removed(void **state)
{
    uint32_t ran;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        scenario = &scenarios[i];
        print_message("group of %s\n", scenario->name);
        unsigned acknowledged = run_seeds(run_seed, DEFAULT_SEEDS, extra_seeds,
                                          G_N_ELEMENTS(extra_seeds), &ran);
        print_message("  %u seeds, %u commands acknowledged\n", ran,
                      acknowledged);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replaced_voter_is_removed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
