/* How long a group takes to elect a leader after all its instances lost power,
 * for several kinds of group and a network without faults. Also that no second
 * leader is elected too early while the old leader still runs. */
#include <string.h>

#include "replica_sim.h"
#include "seeds.h"

#define SETTLE_STEPS 150 /* until all instances are fresh */
#define DEFAULT_SEEDS 20
/* Longest time that a message of the simulation travels. */
#define IN_FLIGHT_US (100 * RP_US_PER_MS)
/* No process can still hold a lease, so the election must not wait for one. */
#define MAX_TIME_TO_LEADER_US RP_LEASE_US

/* The groups and how they restart. */
static const struct {
    const char *name;
    unsigned instance_count;
    unsigned lost_disks; /* how many, from the first on, lose their disk */
    unsigned start_spread_steps; /* between the first and the last start */
} cases[] = {
    {"3 instances, started at once", 3, 0, 0},
    {"3 instances, started one by one", 3, 0, 3},
    {"3 instances, 1 lost its disk", 3, 1, 0},
    {"4 instances, 1 lost its disk", 4, 1, 2},
    {"6 instances, 2 lost their disks", 6, 2, 3},
};

/* Counts the fresh instances among those that kept their disk and so are still
 * voters. */
static unsigned
count_fresh(const struct sim *sim, unsigned lost_disks)
{
    unsigned count = 0;

    for (unsigned i = lost_disks; i < sim->instance_count; i++) {
        const struct instance *instance = &sim->instances[i];
        count += instance->replica &&
                 RpReplica_IsFresh(instance->replica,
                                   sim_instance_clock(sim, instance));
    }
    return count;
}

/* One step of a restarting group: instances that lost their disk try to
 * join. */
static void
step_restarting_group(struct sim *sim, unsigned lost_disks)
{
    for (unsigned i = 0; i < lost_disks; i++) {
        if (sim->instances[i].replica) {
            sim_send_join_requests(sim, i);
        }
    }
    sim_step(sim);
}

/* Stops all instances and returns the time in microseconds from the last start
 * until all that kept their disk are fresh. */
static int64_t
measure_time_to_leader(struct sim *sim, unsigned lost_disks,
                       unsigned start_spread_steps)
{
    for (unsigned i = 0; i < sim->instance_count; i++) {
        if (i < lost_disks) {
            sim_lose_disk(sim, i);
        }
        else {
            sim_stop_instance(sim, i);
        }
        sim->instances[i].down_steps = 50 + (int)(start_spread_steps * i /
                                                  sim->instance_count);
    }
    int64_t last_start = sim->now + (50 + start_spread_steps) * STEP_US;
    sim->idle = true;
    while (sim->now < last_start) {
        step_restarting_group(sim, lost_disks);
    }
    int64_t first_fresh = 0;
    while (count_fresh(sim, lost_disks) < sim->instance_count - lost_disks) {
        step_restarting_group(sim, lost_disks);
        if (first_fresh == 0 && count_fresh(sim, lost_disks) > 0) {
            first_fresh = sim->now;
        }
        CHECK(sim, sim->now < last_start + 10 * MAX_TIME_TO_LEADER_US,
              "the group elects no leader");
    }
    /* Nodes that connect to a follower must not have to wait for the next
     * heartbeat. */
    CHECK(sim,
          first_fresh == 0 ||
              sim->now - first_fresh < RP_HEARTBEAT_INTERVAL_US / 2,
          "followers become fresh too long after the leader");
    return sim->now - last_start;
}

static void
start_and_settle(struct sim *sim, uint32_t seed, unsigned instance_count)
{
    memset(sim, 0, sizeof *sim);
    sim->program = "test_replica_start";
    sim->is_group = true;
    sim->instance_count = instance_count;
    sim_start(sim, seed);
    for (int step = 0; step < SETTLE_STEPS; step++) {
        sim_step(sim);
    }
}

/* The longest time that each group took, over all seeds, in microseconds. */
static int64_t longest_times[G_N_ELEMENTS(cases)];

static unsigned
run_seed(uint32_t seed)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static struct sim sim;
        start_and_settle(&sim, seed, cases[i].instance_count);
        int64_t took = measure_time_to_leader(&sim, cases[i].lost_disks,
                                              cases[i].start_spread_steps);
        if (took >= MAX_TIME_TO_LEADER_US) {
            print_error("%s: fresh after %" G_GINT64_FORMAT " ms\n",
                        cases[i].name, took / RP_US_PER_MS);
        }
        CHECK(&sim, took < MAX_TIME_TO_LEADER_US,
              "a group takes too long to elect a leader");
        longest_times[i] = MAX(longest_times[i], took);
        sim_end(&sim);
    }
    return 1;
}

static void
test_power_loss(void **state)
{
    uint32_t ran;

    (void)state;
    run_seeds(run_seed, DEFAULT_SEEDS, NULL, 0, &ran);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        print_message("%s: fresh after %" G_GINT64_FORMAT
                      " ms at most, %u seeds\n",
                      cases[i].name, longest_times[i] / RP_US_PER_MS, ran);
    }
}

static unsigned
find_leader(const struct sim *sim)
{
    unsigned instance_index = 0;

    while (instance_index + 1 < sim->instance_count &&
           (!sim->instances[instance_index].replica ||
            RpReplica_Role(sim->instances[instance_index].replica) !=
                RP_REPLICA_LEADER)) {
        instance_index++;
    }
    return instance_index;
}

/* All instances but the leader restart and are cut off from it. They must wait
 * for its lease to expire, which the lease check of every step verifies, and
 * then elect a leader. */
static unsigned
run_isolated_leader(uint32_t seed)
{
    static struct sim sim;

    start_and_settle(&sim, seed, seed % 2 ? 3 : 5);
    unsigned old_leader = find_leader(&sim);
    for (unsigned i = 0; i < sim.instance_count; i++) {
        sim.link_is_cut[old_leader][i] = true;
        sim.link_is_cut[i][old_leader] = true;
        if (i != old_leader) {
            sim_stop_instance(&sim, i);
            sim.instances[i].down_steps = 1;
        }
    }
    int64_t end = sim.now + 10 * RP_ELECTION_TIMEOUT_US;
    while (sim.now < end) {
        sim_step(&sim);
    }
    unsigned leaders = 0;
    for (unsigned i = 0; i < sim.instance_count; i++) {
        leaders += i != old_leader &&
                   RpReplica_Role(sim.instances[i].replica) ==
                       RP_REPLICA_LEADER;
    }
    CHECK(&sim, leaders == 1, "the other instances have no leader");
    sim_end(&sim);
    return 1;
}

static void
test_isolated_leader(void **state)
{
    uint32_t ran;

    (void)state;
    run_seeds(run_isolated_leader, DEFAULT_SEEDS, NULL, 0, &ran);
    print_message("%u seeds of a leader that is cut off\n", ran);
}

/* The leader loses power for good. Once its last messages have arrived and the
 * lease has passed, no instance may name it as the leader that is alive. */
static unsigned
run_dead_leader(uint32_t seed)
{
    static struct sim sim;

    start_and_settle(&sim, seed, seed % 2 ? 3 : 5);
    unsigned old_leader = find_leader(&sim);
    uint64_t old_id = sim.instances[old_leader].id;
    sim_stop_instance(&sim, old_leader);
    sim.instances[old_leader].down_steps = 1000;
    int64_t named_until = sim.now + RP_LEASE_US + IN_FLIGHT_US;
    int64_t end = sim.now + 4 * RP_ELECTION_TIMEOUT_US;
    while (sim.now < end) {
        sim_step(&sim);
        for (unsigned i = 0; i < sim.instance_count; i++) {
            const struct instance *instance = &sim.instances[i];
            const struct rp_replica_member *leader =
                instance->replica
                    ? RpReplica_LiveLeader(instance->replica,
                                           sim_instance_clock(&sim, instance))
                    : NULL;
            CHECK(&sim,
                  sim.now < named_until || !leader || leader->id != old_id,
                  "a leader that is long dead is named as alive");
        }
    }
    const struct instance *leader = &sim.instances[find_leader(&sim)];
    CHECK(&sim,
          RpReplica_LiveLeader(leader->replica,
                               sim_instance_clock(&sim, leader)) != NULL,
          "the next leader does not name itself");
    sim_end(&sim);
    return 1;
}

/* Guards against followers that send the operator to a leader that has just
 * died, for up to a whole election timeout (issue 34). */
static void
test_dead_leader_is_not_named(void **state)
{
    uint32_t ran;

    (void)state;
    run_seeds(run_dead_leader, DEFAULT_SEEDS, NULL, 0, &ran);
    print_message("%u seeds of a leader that dies\n", ran);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_power_loss),
        cmocka_unit_test(test_isolated_leader),
        cmocka_unit_test(test_dead_leader_is_not_named),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
