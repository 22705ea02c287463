/* Replicas under a network that drops, delays, repeats and cuts one way, with
 * freezes, kills in the middle of storing, lost disks and clocks that differ,
 * all by one seed. Checked all along:
 *
 * - one leader a term, one order everywhere;
 * - nothing acknowledged is changed or applied twice;
 * - a replica that says it is fresh has applied all that was acknowledged
 *   before the lease began;
 * - of a group, whose clocks run alike, one leader at most holds a lease;
 * - a read that a majority has confirmed shows all that was acknowledged
 *   before it began. */
#ifndef REPLICA_WORLD_H
#define REPLICA_WORLD_H

#include <glib.h>

#include "check.h"
#include "rp_replica.h"

#define MAX_SLOTS 6 /* instances */
#define STEP_US (20 * RP_US_PER_MS)

/* What one instance has on its disk. */
struct disk {
    uint64_t term;
    uint64_t voted_for;
    struct rp_snapshot *snapshot;
    GPtrArray *entries; /* of encoded struct rp_log_entry, as GString */
};

struct instance {
    struct rp_replica *replica; /* NULL while it is down */
    uint64_t id;
    struct disk disk;
    int64_t skew;   /* its clock against the world's */
    int frozen;     /* steps left */
    int down;       /* steps left */
    GString *state; /* applied commands, "1,2,3," */
    uint64_t applied;
    uint64_t since_compact;
    uint64_t read_term; /* of a read under way */
    uint64_t read_round;
    guint read_from; /* commands acknowledged before it; 0: no read */
};

struct flight {
    unsigned to;
    int delay; /* steps left */
    struct rp_msg msg;
};

struct world {
    const char *test; /* the program, for what to repeat */
    uint32_t seed;
    GRand *dice;
    int64_t now;
    unsigned slots;
    uint64_t next_id;
    struct instance instances[MAX_SLOTS];
    bool cut[MAX_SLOTS][MAX_SLOTS]; /* one way */
    GPtrArray *flights;
    GHashTable *leaders;      /* term -> id */
    GPtrArray *history;       /* command by index, as GString; NULL: none */
    GHashTable *proposed;     /* index -> command number, by the last leader */
    GHashTable *acknowledged; /* command number -> 1 */
    GArray *in_order;         /* the same, as guint */
    GArray *times;            /* when each was, as int64_t */
    unsigned next_command;
    bool faulty;
    bool group; /* all were started together */
    bool quiet; /* nothing is proposed or read */
};

#define CHECK(world, condition, text)                                         \
    do {                                                                      \
        if (!(condition)) {                                                   \
            print_error("%s\nrepeat with: RP_SEED=%u "                        \
                        "build/tests/%s\n",                                   \
                        text, (world)->seed, (world)->test);                  \
            fail();                                                           \
        }                                                                     \
    } while (0)

/* A world of `seed`; `test`, `group` and, if it is to be set, `slots` are set
 * before: a group has 4 or 6 instances, else one starts and 2 or 4 others
 * join. */
void world_start(struct world *world, uint32_t seed);
void world_end(struct world *world);

/* One step of STEP_US: instances run, proposals and reads are made, messages
 * arrive. */
void world_step(struct world *world);

/* The parts of a step, for runs without proposals. */
void world_carry_out(struct world *world, unsigned slot);
void world_deliver(struct world *world);

/* An instance that is no member asks those that it knows to let it in. */
void world_ask_to_join(struct world *world, unsigned slot);

/* An instance loses its power; `down` says how many steps until it is back.
 * The other loses its disk as well. */
void world_stop_instance(struct world *world, unsigned slot);
void world_lose_disk(struct world *world, unsigned slot);

/* A number from 0 to sides - 1. */
int world_roll(struct world *world, int sides);

/* What an instance's own clock says. */
int64_t world_clock(const struct world *world,
                    const struct instance *instance);

/* How often a command stands in a state. */
unsigned world_count_command(const GString *state, guint number);

#endif
