/* Full disks, one after another: each disk of a group refuses all writes for
 * some seconds, and the next one is full from the moment when the last has
 * room again. At most one at a time, so the group acknowledges commands all
 * the while, but for an election, and after the last one all replicas take
 * part again. */
#include <string.h>

#include "replica_sim.h"
#include "seeds.h"

#define SETTLE_STEPS 150
#define FULL_MIN_STEPS (1 * RP_US_PER_SECOND / STEP_US)
#define FULL_MAX_STEPS (5 * RP_US_PER_SECOND / STEP_US)
#define ROUNDS 8
/* Users expect service again 4 s after a failure. */
#define SERVICE_STEPS (4 * RP_US_PER_SECOND / STEP_US)
#define REJOIN_STEPS (12 * RP_US_PER_SECOND / STEP_US)
#define DEFAULT_SEEDS 12

/* Runs one step. Returns for how many steps in a row nothing has been
 * acknowledged now, if it was `quiet` before. */
static int
step(struct sim *sim, int quiet)
{
    unsigned before = g_hash_table_size(sim->acknowledged);

    sim_step(sim);
    return g_hash_table_size(sim->acknowledged) > before ? 0 : quiet + 1;
}

static unsigned
run_seed(uint32_t seed)
{
    static struct sim sim;
    int quiet = 0;
    int longest = 0;

    memset(&sim, 0, sizeof sim);
    sim.program = "test_full_disks";
    sim.is_group = true;
    sim.instance_count = 3 + seed % 4;
    sim.min_voters = sim.instance_count > 4 ? 5 : 3;
    sim_start(&sim, seed);
    for (int i = 0; i < SETTLE_STEPS; i++) {
        sim_step(&sim);
    }
    for (unsigned round = 0; round < ROUNDS; round++) {
        unsigned full = (round + (unsigned)sim_random_below(&sim, 2)) %
                        sim.instance_count;
        int steps = FULL_MIN_STEPS +
                    sim_random_below(&sim, FULL_MAX_STEPS - FULL_MIN_STEPS);
        sim.instances[full].full_steps = steps;
        for (int i = 0; i < steps; i++) {
            quiet = step(&sim, quiet);
            longest = MAX(longest, quiet);
        }
    }
    for (int i = 0; i < REJOIN_STEPS; i++) {
        quiet = step(&sim, quiet);
        longest = MAX(longest, quiet);
    }
    CHECK(&sim, longest < SERVICE_STEPS,
          "no command is acknowledged for longer than an election takes");
    for (unsigned i = 0; i < sim.instance_count; i++) {
        CHECK(
            &sim,
            sim_is_running(&sim, i) &&
                RpReplica_IsMember(sim.instances[i].replica) &&
                RpReplica_IsFresh(sim.instances[i].replica,
                                  sim_instance_clock(&sim, &sim.instances[i])),
            "a replica does not take part though its disk has room");
        CHECK(&sim,
              RpReplica_VoterCount(sim.instances[i].replica) ==
                  sim.instance_count,
              "a replica has not got its vote back");
    }
    unsigned acknowledged = g_hash_table_size(sim.acknowledged);
    sim_end(&sim);
    return acknowledged;
}

/* Guards against a group that acknowledges nothing any more after disks were
 * full one after another, though all of them have room again. */
static void
test_disks_full_one_after_another(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_seed, DEFAULT_SEEDS, NULL, 0, &ran);
    print_message("%u seeds, %u commands acknowledged\n", ran, acknowledged);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_disks_full_one_after_another),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
