/* Losses while the members change. A group that is to tolerate n failures must
 * tolerate them at each moment of a replacement, not only before and after it:
 * as soon as the old instance has stopped, and for as long as the new one may
 * still be lost again. */
#include <string.h>

#include "replica_sim.h"
#include "seeds.h"

#define SETTLE_STEPS 150
/* Users expect service again 4 s after a failure. */
#define SERVICE_STEPS (4 * RP_US_PER_SECOND / STEP_US)
#define CATCH_UP_STEPS (4 * RP_US_PER_SECOND / STEP_US)
/* Planned stops end within the users' grace of 6 s, with a margin. */
#define STOP_STEPS (4 * RP_US_PER_SECOND / STEP_US)
#define RESTART_STEPS 25
#define DEFAULT_SEEDS 10

enum stop {
    STOP_PLANNED, /* SIGTERM: the instance leaves the group and ends */
    STOP_KILLED   /* its connections close, without notice */
};

enum loss {
    LOSS_WIPED, /* returns at its address with an empty disk */
    LOSS_GONE   /* never returns */
};

/* How instances are replaced by others that started before, and what is lost
 * how long after that. */
static const struct scenario {
    const char *name;
    unsigned instances;
    unsigned failures; /* that the group must tolerate */
    unsigned replaced; /* one after the other */
    enum stop stop;
    enum loss loss;
    int min_steps; /* from the last stop to the losses */
    int max_steps;
} scenarios[] = {
    {"3, planned, then wiped", 3, 1, 1, STOP_PLANNED, LOSS_WIPED, 0, 50},
    {"3, planned, then gone", 3, 1, 1, STOP_PLANNED, LOSS_GONE, 0, 50},
    {"4, planned, then wiped", 4, 1, 1, STOP_PLANNED, LOSS_WIPED, 0, 50},
    {"4, planned, then gone", 4, 1, 1, STOP_PLANNED, LOSS_GONE, 0, 50},
    {"5, planned, then two wiped", 5, 2, 1, STOP_PLANNED, LOSS_WIPED, 0, 50},
    {"5, two planned, then two gone", 5, 2, 2, STOP_PLANNED, LOSS_GONE, 0, 50},
    {"6, two planned, then two wiped", 6, 2, 2, STOP_PLANNED, LOSS_WIPED, 0,
     50},
    {"3, killed, then wiped", 3, 1, 1, STOP_KILLED, LOSS_WIPED, 75, 125},
    {"3, killed, then wiped at once", 3, 1, 1, STOP_KILLED, LOSS_WIPED, 0, 75},
    {"4, killed, then wiped at once", 4, 1, 1, STOP_KILLED, LOSS_WIPED, 0, 75},
    {"5, killed, then two wiped at once", 5, 2, 1, STOP_KILLED, LOSS_WIPED, 0,
     75},
    {"6, killed, then two wiped at once", 6, 2, 1, STOP_KILLED, LOSS_WIPED, 0,
     75},
    {"3, killed, then gone", 3, 1, 1, STOP_KILLED, LOSS_GONE, 75, 125},
    {"5, killed, then two gone", 5, 2, 1, STOP_KILLED, LOSS_GONE, 75, 125},
};

static const struct scenario *scenario; /* the one that runs */

static void
start_group(struct sim *sim, uint32_t seed, unsigned instances,
            unsigned failures, unsigned replacements)
{
    memset(sim, 0, sizeof *sim);
    sim->program = "test_member_losses";
    sim->is_group = true;
    sim->min_voters = 2 * (size_t)failures + 1;
    sim->initial_count = instances;
    sim->instance_count = instances + replacements;
    sim_start(sim, seed);
    sim_run(sim, SETTLE_STEPS);
}

static unsigned
choose_running(struct sim *sim)
{
    for (;;) {
        unsigned candidate = (unsigned)sim_random_below(
            sim, (int)sim->instance_count);
        if (sim_is_running(sim, candidate)) {
            return candidate;
        }
    }
}

static void
stop_as_planned(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];
    int64_t deadline = sim->now + (int64_t)STOP_STEPS * STEP_US;

    RpReplica_Leave(instance->replica);
    while (!RpReplica_MayStop(instance->replica) && sim->now < deadline) {
        sim_step(sim);
    }
    CHECK(sim, sim->now < deadline, "a planned stop takes too long");
    sim_remove_instance(sim, instance_index);
}

static void
kill_without_notice(struct sim *sim, unsigned instance_index)
{
    sim_remove_instance(sim, instance_index);
    for (unsigned i = 0; i < sim->instance_count; i++) {
        struct instance *other = &sim->instances[i];
        if (sim_is_running(sim, i)) {
            RpReplica_OnDisconnect(other->replica,
                                   sim_instance_clock(sim, other),
                                   sim->instances[instance_index].id);
        }
    }
}

static void
lose(struct sim *sim, unsigned instance_index)
{
    if (scenario->loss == LOSS_WIPED) {
        sim_lose_disk(sim, instance_index);
        sim->instances[instance_index].down_steps = RESTART_STEPS;
    }
    else {
        sim_remove_instance(sim, instance_index);
    }
}

/* Checks that commands are acknowledged again within SERVICE_STEPS. */
static void
check_service(struct sim *sim)
{
    sim_run(sim, SERVICE_STEPS);
    unsigned before = g_hash_table_size(sim->acknowledged);
    sim_run(sim, SETTLE_STEPS);
    CHECK(sim, g_hash_table_size(sim->acknowledged) > before,
          "no command is acknowledged after a loss that the group tolerates");
}

static unsigned
run_replacement(uint32_t seed)
{
    static struct sim sim;

    start_group(&sim, seed, scenario->instances, scenario->failures,
                scenario->replaced);
    for (unsigned i = 0; i < scenario->replaced; i++) {
        unsigned old = choose_running(&sim);
        sim_add_instance(&sim, scenario->instances + i);
        sim_run(&sim, CATCH_UP_STEPS);
        if (scenario->stop == STOP_PLANNED) {
            stop_as_planned(&sim, old);
        }
        else {
            kill_without_notice(&sim, old);
        }
    }
    sim_run(&sim, scenario->min_steps +
                      sim_random_below(&sim, scenario->max_steps -
                                                 scenario->min_steps));
    for (unsigned i = 0; i < scenario->failures; i++) {
        lose(&sim, choose_running(&sim));
    }
    check_service(&sim);
    unsigned acknowledged = g_hash_table_size(sim.acknowledged);
    sim_end(&sim);
    return acknowledged;
}

/* Guards against a voter too many after a planned replacement: the stopped
 * instance counted towards the quorum until it had been silent for long, and
 * one lost disk meanwhile left no quorum for good. */
static void
test_loss_right_after_a_replacement(void **state)
{
    uint32_t ran;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        scenario = &scenarios[i];
        print_message("group of %s\n", scenario->name);
        unsigned acknowledged = run_seeds(run_replacement, DEFAULT_SEEDS, NULL,
                                          0, &ran);
        print_message("  %u seeds, %u commands acknowledged\n", ran,
                      acknowledged);
    }
}

static unsigned
choose_leader(struct sim *sim)
{
    for (unsigned i = 0; i < sim->instance_count; i++) {
        if (sim_is_running(sim, i) &&
            RpReplica_Role(sim->instances[i].replica) == RP_REPLICA_LEADER) {
            return i;
        }
    }
    CHECK(sim, false, "there is no leader");
    return 0;
}

static unsigned
lose_successors(uint32_t seed, bool lose_leader)
{
    static struct sim sim;
    unsigned failures = seed % 2 ? 1 : 2;
    unsigned instances = 2 * failures + 1;

    start_group(&sim, seed, instances, failures, failures);
    for (unsigned i = 0; i < failures; i++) {
        sim_remove_instance(&sim, i == 0 && lose_leader
                                      ? choose_leader(&sim)
                                      : choose_running(&sim));
    }
    sim_run(&sim, lose_leader ? 0 : sim_random_below(&sim, 100));
    for (unsigned i = 0; i < failures; i++) {
        sim_add_instance(&sim, instances + i);
    }
    sim_run(&sim, sim_random_below(&sim, 150));
    for (unsigned i = 0; i < failures; i++) {
        sim_remove_instance(&sim, instances + i);
    }
    check_service(&sim);
    unsigned acknowledged = g_hash_table_size(sim.acknowledged);
    sim_end(&sim);
    return acknowledged;
}

static unsigned
run_lost_successor(uint32_t seed)
{
    return lose_successors(seed, false);
}

static unsigned
run_lost_leader_and_successor(uint32_t seed)
{
    return lose_successors(seed, true);
}

/* Guards against a successor that gets its vote beside the dead voter that it
 * replaces: if it was lost too, the two dead voters left no quorum for good,
 * though every instance that was not replaced still ran. */
static void
test_successor_is_lost_too(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_lost_successor, 4 * DEFAULT_SEEDS,
                                      NULL, 0, &ran);
    print_message("%u seeds, %u commands acknowledged\n", ran, acknowledged);
}

/* Guards against a new leader that takes a voter for alive before it has heard
 * from it, and gives successors their vote beside it. */
static void
test_successor_of_the_leader_is_lost_too(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_lost_leader_and_successor,
                                      20 * DEFAULT_SEEDS, NULL, 0, &ran);
    print_message("%u seeds, %u commands acknowledged\n", ran, acknowledged);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_loss_right_after_a_replacement),
        cmocka_unit_test(test_successor_is_lost_too),
        cmocka_unit_test(test_successor_of_the_leader_is_lost_too),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
