/* Property runs of agreement in the worlds of replica_world.h. Besides what
 * is checked there, on every seed nothing acknowledged is lost, and once the
 * faults end, the system takes changes again.
 *
 * A second property starts 4 or 6 replicas together as a first group; 6 of
 * them lose two disks at once.
 *
 * RP_SEED=N runs that seed alone; RP_SEEDS=N runs 1 to N. */
#include <string.h>

#include "replica_world.h"
#include "seeds.h"

#define FAULT_STEPS 1500
#define CALM_STEPS 1500
#define DEFAULT_SEEDS 250
#define GROUP_SEEDS 100

/* Seeds beyond those that found a fault once. */
static const uint32_t extra_seeds[] = {852,  1318, 1572, 2418, 5066, 5446,
                                       6424, 7566, 7622, 8090, 9716};

/* How many instances may lose their disk without losing the data: one at a
 * time, and only when all others are up and hold the log's end. */
static bool
may_lose_disk(const struct world *world, unsigned slot)
{
    unsigned full = 0;

    for (unsigned i = 0; i < world->slots; i++) {
        const struct instance *instance = &world->instances[i];
        if (!instance->replica || !RpReplica_IsMember(instance->replica)) {
            return false;
        }
        const GArray *members = RpReplica_Members(instance->replica);
        if (members->len != world->slots) {
            return false;
        }
        for (guint j = 0; j < members->len; j++) {
            if (!g_array_index(members, struct rp_replica_member, j).voter) {
                return false;
            }
        }
        full += i != slot;
    }
    return full + 1 == world->slots;
}

static void
break_something(struct world *world)
{
    unsigned slot = (unsigned)world_roll(world, (int)world->slots);
    unsigned other = (unsigned)world_roll(world, (int)world->slots);
    struct instance *instance = &world->instances[slot];

    if (world->group && world_roll(world, 10) == 0) {
        /* All lose power at the same moment; their disks are whole. */
        for (unsigned i = 0; i < world->slots; i++) {
            world_stop_instance(world, i);
            world->instances[i].down = 1 + world_roll(world, 20);
        }
        return;
    }

    switch (world_roll(world, 8)) {
    case 0:
        if (instance->replica) {
            world_stop_instance(world, slot);
            instance->down = 1 + world_roll(world, 200);
        }
        break;
    case 1:
        instance->frozen = 1 + world_roll(world, 200);
        break;
    case 2:
        world->cut[slot][other] = true; /* one way */
        break;
    case 3:
        for (unsigned i = 0; i < world->slots; i++) {
            world->cut[slot][i] = true;
            world->cut[i][slot] = true;
        }
        break;
    case 4:
    case 5:
        memset(world->cut, 0, sizeof world->cut);
        break;
    case 6:
        /* The clock jumps forward; it never runs backwards. A lease holds
         * only while clocks run alike. */
        if (!world->group) {
            instance->skew += world_roll(world, 3) * RP_US_PER_SECOND;
        }
        break;
    default:
        if (may_lose_disk(world, slot) && world_roll(world, 3) == 0) {
            world_lose_disk(world, slot);
            instance->down = 1 + world_roll(world, 50);
            if (world->slots == MAX_SLOTS && other != slot) {
                /* A second disk is lost at the same moment. */
                world_lose_disk(world, other);
                world->instances[other].down = 1 + world_roll(world, 50);
            }
        }
    }
}

static void
check_end(struct world *world)
{
    const GString *state = world->instances[0].state;
    GHashTableIter iter;
    gpointer key;

    for (unsigned i = 0; i < world->slots; i++) {
        CHECK(world,
              world->instances[i].replica &&
                  RpReplica_IsMember(world->instances[i].replica),
              "a replica did not come back");
        CHECK(world, g_string_equal(world->instances[i].state, state),
              "replicas differ after the faults");
        CHECK(world,
              RpReplica_IsFresh(world->instances[i].replica,
                                world_clock(world, &world->instances[i])),
              "a replica is not fresh after the faults");
    }
    g_hash_table_iter_init(&iter, world->acknowledged);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        CHECK(world, world_count_command(state, GPOINTER_TO_UINT(key)) == 1,
              "an acknowledged command is lost or there twice");
    }
}

static unsigned
run_world(uint32_t seed, bool group)
{
    static struct world world;

    memset(&world, 0, sizeof world);
    world.test = "test_replica";
    world.group = group;
    world_start(&world, seed);
    for (int i = 0; i < 300; i++) {
        world_step(&world); /* the others join */
    }
    world.faulty = true;
    for (int i = 0; i < FAULT_STEPS; i++) {
        if (world_roll(&world, 25) == 0) {
            break_something(&world);
        }
        world_step(&world);
    }
    world.faulty = false;
    memset(world.cut, 0, sizeof world.cut);
    for (unsigned i = 0; i < world.slots; i++) {
        world.instances[i].frozen = 0;
        world.instances[i].down = 0;
    }
    unsigned before = g_hash_table_size(world.acknowledged);
    for (int i = 0; i < CALM_STEPS; i++) {
        world_step(&world);
    }
    unsigned acknowledged = g_hash_table_size(world.acknowledged);
    CHECK(&world, acknowledged > before, "no change is taken any more");
    /* Let the last heartbeats tell everyone what is committed. */
    world.next_command += 1000000;
    for (int i = 0; i < 100; i++) {
        world.now += STEP_US;
        for (unsigned j = 0; j < world.slots; j++) {
            RpReplica_Tick(world.instances[j].replica,
                           world_clock(&world, &world.instances[j]));
            world_carry_out(&world, j);
        }
        world_deliver(&world);
    }
    check_end(&world);
    world_end(&world);
    return acknowledged;
}

static unsigned
run_seed(uint32_t seed)
{
    return run_world(seed, false);
}

static unsigned
run_group_seed(uint32_t seed)
{
    return run_world(seed, true);
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
test_agreement_property(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned acknowledged = run_seeds(run_seed, DEFAULT_SEEDS, extra_seeds,
                                      G_N_ELEMENTS(extra_seeds), &ran);
    print_message("%u seeds, %u commands acknowledged, all there once\n", ran,
                  acknowledged);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_agreement_property),
        cmocka_unit_test(test_group_property),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
