/* Property tests of the replicated log in the simulation of replica_sim.h.
 * Besides the checks of each step, every seed checks that no acknowledged
 * command is lost, and that the group commits commands again after the faults
 * end.
 *
 * The second test bootstraps 4 or 6 replicas together as one group; a group
 * of 6 can lose two disks at once. The third adds planned stops and closed
 * connections to the faults.
 *
 * RP_SEED=N runs that seed alone; RP_SEEDS=N runs 1 to N. */
#include <string.h>

#include "replica_sim.h"
#include "seeds.h"

#define FAULT_STEPS 1500
#define RECOVERY_STEPS 1500
#define DEFAULT_SEEDS 250
#define GROUP_SEEDS 100
#define PLANNED_STOP_SEEDS 50
#define LARGEST_GROUP 6 /* instances; bears the loss of two disks */

/* Further seeds that each found a fault once. */
static const uint32_t extra_seeds[] = {852,  1318, 1572, 2418, 5066, 5446,
                                       6424, 7566, 7622, 8090, 9716};

/* Whether the instance can lose its disk without a loss of committed data: all
 * instances run and know the full group, in which every member is a voter. */
static bool
can_lose_disk(const struct sim *sim, unsigned instance_index)
{
    unsigned others_with_data = 0;

    for (unsigned i = 0; i < sim->instance_count; i++) {
        const struct instance *instance = &sim->instances[i];
        if (!instance->replica || !RpReplica_IsMember(instance->replica)) {
            return false;
        }
        const GArray *members = RpReplica_Members(instance->replica);
        if (members->len != sim->instance_count) {
            return false;
        }
        for (guint j = 0; j < members->len; j++) {
            if (!g_array_index(members, struct rp_replica_member, j).voter) {
                return false;
            }
        }
        others_with_data += i != instance_index;
    }
    return others_with_data + 1 == sim->instance_count;
}

static void
inject_fault(struct sim *sim)
{
    unsigned instance_index = (unsigned)sim_random_below(
        sim, (int)sim->instance_count);
    unsigned other = (unsigned)sim_random_below(sim, (int)sim->instance_count);
    struct instance *instance = &sim->instances[instance_index];

    if (sim->is_group && sim_random_below(sim, 10) == 0) {
        /* All lose power at the same moment and keep their disks. */
        for (unsigned i = 0; i < sim->instance_count; i++) {
            sim_stop_instance(sim, i);
            sim->instances[i].down_steps = 1 + sim_random_below(sim, 20);
        }
        return;
    }

    switch (sim_random_below(sim, 8)) {
    case 0:
        if (instance->replica) {
            sim_stop_instance(sim, instance_index);
            instance->down_steps = 1 + sim_random_below(sim, 200);
        }
        break;
    case 1:
        instance->frozen_steps = 1 + sim_random_below(sim, 200);
        break;
    case 2:
        sim->link_is_cut[instance_index][other] = true; /* one direction */
        break;
    case 3:
        for (unsigned i = 0; i < sim->instance_count; i++) {
            sim->link_is_cut[instance_index][i] = true;
            sim->link_is_cut[i][instance_index] = true;
        }
        break;
    case 4:
    case 5:
        memset(sim->link_is_cut, 0, sizeof sim->link_is_cut);
        break;
    case 6:
        /* The clock jumps forward; it never runs backwards. Leases are safe
         * only while clocks run at the same speed, so a group is exempt. */
        if (!sim->is_group) {
            instance->clock_offset += sim_random_below(sim, 3) *
                                      RP_US_PER_SECOND;
        }
        break;
    default:
        if (can_lose_disk(sim, instance_index) &&
            sim_random_below(sim, 3) == 0) {
            sim_lose_disk(sim, instance_index);
            instance->down_steps = 1 + sim_random_below(sim, 50);
            if (sim->instance_count == LARGEST_GROUP &&
                other != instance_index) {
                /* A second disk is lost at the same moment. */
                sim_lose_disk(sim, other);
                sim->instances[other].down_steps = 1 +
                                                   sim_random_below(sim, 50);
            }
        }
    }
}

/* Starts planned stops, and ends those that may end or have waited for long.
 * Reports closed connections, also where the instance at the other end runs
 * on. */
static void
inject_planned_stops(struct sim *sim)
{
    unsigned leaving = (unsigned)sim_random_below(sim,
                                                  (int)sim->instance_count);
    unsigned closed = (unsigned)sim_random_below(sim,
                                                 (int)sim->instance_count);

    if (sim_random_below(sim, 60) == 0 && sim_is_running(sim, leaving)) {
        sim->instances[leaving].leaving = true;
        RpReplica_Leave(sim->instances[leaving].replica);
    }
    for (unsigned i = 0; i < sim->instance_count; i++) {
        struct instance *instance = &sim->instances[i];
        if (!sim_is_running(sim, i)) {
            continue;
        }
        if (sim_random_below(sim, 60) == 0) {
            RpReplica_OnDisconnect(instance->replica,
                                   sim_instance_clock(sim, instance),
                                   sim->instances[closed].id);
        }
        if (instance->leaving && (RpReplica_MayStop(instance->replica) ||
                                  sim_random_below(sim, 200) == 0)) {
            sim_stop_instance(sim, i);
            instance->down_steps = 1 + sim_random_below(sim, 200);
        }
    }
}

static unsigned
run_simulation(uint32_t seed, bool group, bool planned_stops)
{
    static struct sim sim;

    memset(&sim, 0, sizeof sim);
    sim.program = "test_replica";
    sim.is_group = group;
    sim_start(&sim, seed);
    for (int i = 0; i < 300; i++) {
        sim_step(&sim); /* the others join */
    }
    sim.inject_faults = true;
    for (int i = 0; i < FAULT_STEPS; i++) {
        if (sim_random_below(&sim, 25) == 0) {
            inject_fault(&sim);
        }
        if (planned_stops) {
            inject_planned_stops(&sim);
        }
        sim_step(&sim);
    }
    unsigned acknowledged = sim_recover(&sim, RECOVERY_STEPS);
    sim_end(&sim);
    return acknowledged;
}

static unsigned
run_seed(uint32_t seed)
{
    return run_simulation(seed, false, false);
}

static unsigned
run_group_seed(uint32_t seed)
{
    return run_simulation(seed, true, false);
}

static unsigned
run_planned_stops_seed(uint32_t seed)
{
    return run_simulation(seed, true, true);
}

static void
test_group_property(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_group_seed, GROUP_SEEDS, NULL, 0,
                                      &ran);
    print_message("%u seeds of groups, %u commands acknowledged\n", ran,
                  acknowledged);
}

static void
test_planned_stops_property(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_planned_stops_seed,
                                      PLANNED_STOP_SEEDS, NULL, 0, &ran);
    print_message("%u seeds of planned stops, %u commands acknowledged\n", ran,
                  acknowledged);
}

static void
test_consensus_property(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_seed, DEFAULT_SEEDS, extra_seeds,
                                      G_N_ELEMENTS(extra_seeds), &ran);
    print_message("%u seeds, %u commands acknowledged, each applied once\n",
                  ran, acknowledged);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_consensus_property),
        cmocka_unit_test(test_group_property),
        cmocka_unit_test(test_planned_stops_property),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
