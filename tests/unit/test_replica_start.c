/* How soon a group leads again after all of it lost its power: a table of
 * groups, each played with some seeds on a network that works. And that it
 * does not lead too soon, while a leader of before lives. */
#include <string.h>

#include "replica_world.h"
#include "seeds.h"

#define SETTLE_STEPS 150 /* until all have joined and are fresh */
#define DEFAULT_SEEDS 20
/* A lease that no process can hold any more is not to be waited for. */
#define BOUND_US RP_LEASE_US

/* What becomes of the group. */
static const struct {
    const char *what;
    unsigned slots;
    unsigned wiped;  /* of these, the first ones come back without disk */
    unsigned spread; /* steps between the first and the last to start */
} cases[] = {
    {"three, all at once", 3, 0, 0},
    {"three, one after the other", 3, 0, 3},
    {"three, one without its disk", 3, 1, 0},
    {"four, one without its disk", 4, 1, 2},
    {"six, two without their disks", 6, 2, 3},
};

/* How many instances are fresh, of those that have their disk and so their
 * vote. */
static unsigned
count_fresh(const struct world *world, unsigned wiped)
{
    unsigned count = 0;

    for (unsigned i = wiped; i < world->slots; i++) {
        const struct instance *instance = &world->instances[i];
        count += instance->replica &&
                 RpReplica_IsFresh(instance->replica,
                                   world_clock(world, instance));
    }
    return count;
}

/* One step of a system that does nothing but get up. */
static void
get_up(struct world *world, unsigned wiped)
{
    for (unsigned i = 0; i < wiped; i++) {
        if (world->instances[i].replica) {
            world_ask_to_join(world, i);
        }
    }
    world_step(world);
}

/* How long the group takes from its last start until it is led. */
static int64_t
time_to_lead(struct world *world, unsigned wiped, unsigned spread)
{
    for (unsigned i = 0; i < world->slots; i++) {
        if (i < wiped) {
            world_lose_disk(world, i);
        }
        else {
            world_stop_instance(world, i);
        }
        world->instances[i].down = 50 + (int)(spread * i / world->slots);
    }
    int64_t up = world->now + (50 + spread) * STEP_US;
    world->quiet = true;
    while (world->now < up) {
        get_up(world, wiped);
    }
    int64_t led = 0;
    while (count_fresh(world, wiped) < world->slots - wiped) {
        get_up(world, wiped);
        if (led == 0 && count_fresh(world, wiped) > 0) {
            led = world->now;
        }
        CHECK(world, world->now < up + 10 * BOUND_US, "nobody leads");
    }
    /* Nodes that chose another replica are not to wait for a heartbeat. */
    CHECK(world, led == 0 || world->now - led < RP_HEARTBEAT_US / 2,
          "the others hear too late that they are led");
    return world->now - up;
}

static void
settle(struct world *world, uint32_t seed, unsigned slots)
{
    memset(world, 0, sizeof *world);
    world->test = "test_replica_start";
    world->group = true;
    world->slots = slots;
    world_start(world, seed);
    for (int step = 0; step < SETTLE_STEPS; step++) {
        world_step(world);
    }
}

/* The longest that each group took, over all seeds. */
static int64_t slowest[G_N_ELEMENTS(cases)];

static unsigned
run_seed(uint32_t seed)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static struct world world;
        settle(&world, seed, cases[i].slots);
        int64_t took = time_to_lead(&world, cases[i].wiped, cases[i].spread);
        if (took >= BOUND_US) {
            print_error("%s: led after %" G_GINT64_FORMAT " ms\n",
                        cases[i].what, took / RP_US_PER_MS);
        }
        CHECK(&world, took < BOUND_US, "a group takes too long to get up");
        slowest[i] = MAX(slowest[i], took);
        world_end(&world);
    }
    return 1;
}

static void
test_power_lost(void **state)
{
    uint32_t ran;

    (void)state;
    run_seeds(run_seed, DEFAULT_SEEDS, NULL, 0, &ran);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        print_message("%s: led after %" G_GINT64_FORMAT
                      " ms at most, %u seeds\n",
                      cases[i].what, slowest[i] / RP_US_PER_MS, ran);
    }
}

static unsigned
find_leader(const struct world *world)
{
    unsigned slot = 0;

    while (slot + 1 < world->slots &&
           RpReplica_Role(world->instances[slot].replica) !=
               RP_REPLICA_LEADER) {
        slot++;
    }
    return slot;
}

/* All but the leader start anew and cannot hear it: its lease is waited for,
 * which every step of the world checks. */
static unsigned
run_leader_lives(uint32_t seed)
{
    static struct world world;

    settle(&world, seed, seed % 2 ? 3 : 5);
    unsigned old = find_leader(&world);
    for (unsigned i = 0; i < world.slots; i++) {
        world.cut[old][i] = true;
        world.cut[i][old] = true;
        if (i != old) {
            world_stop_instance(&world, i);
            world.instances[i].down = 1;
        }
    }
    int64_t end = world.now + 10 * RP_ELECTION_US;
    while (world.now < end) {
        world_step(&world);
    }
    unsigned leaders = 0;
    for (unsigned i = 0; i < world.slots; i++) {
        leaders += i != old && RpReplica_Role(world.instances[i].replica) ==
                                   RP_REPLICA_LEADER;
    }
    CHECK(&world, leaders == 1, "the others have no leader of their own");
    world_end(&world);
    return 1;
}

static void
test_leader_lives(void **state)
{
    uint32_t ran;

    (void)state;
    run_seeds(run_leader_lives, DEFAULT_SEEDS, NULL, 0, &ran);
    print_message("%u seeds of a leader that lives\n", ran);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_power_lost),
        cmocka_unit_test(test_leader_lives),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
