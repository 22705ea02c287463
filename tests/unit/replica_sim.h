/* Simulation of a group of replicas, driven by one seed. The network drops,
 * delays and duplicates messages and cuts links in one direction. Instances
 * freeze, crash between two store actions, lose their disks, have full disks,
 * and have clocks that differ. Every step checks that
 *
 * - a term has at most one leader, and all replicas apply the same entries in
 *   the same order;
 * - no acknowledged command is changed or applied twice;
 * - a replica that reports itself fresh has applied every command that was
 *   acknowledged before the leader's lease began;
 * - at most one leader holds a lease (only in a group whose clocks run at the
 *   same speed);
 * - a read that a majority has confirmed sees every command that was
 *   acknowledged before the read began. */
#ifndef REPLICA_SIM_H
#define REPLICA_SIM_H

#include <glib.h>

#include "check.h"
#include "rp_replica.h"

#define MAX_INSTANCES 16

#define STEP_US (20 * RP_US_PER_MS)

/* The durable state of one instance. */
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
    int64_t clock_offset; /* its clock minus the simulation's, in us */
    int frozen_steps;     /* left until it runs again */
    int down_steps;       /* left until it restarts */
    int full_steps;       /* left until its disk takes writes again */
    int retry_steps;      /* left until it opens its disk again; 0: it works */
    bool leaving;         /* a planned stop is under way */
    bool absent;          /* not started yet, or gone for good */
    GString *state;       /* applied commands, "1,2,3," */
    uint64_t applied;
    uint64_t applied_since_compaction;
    uint64_t read_term; /* of the pending read */
    uint64_t read_round;
    /* Commands acknowledged before the pending read began; 0: no read. */
    guint acknowledged_before_read;
};

/* A message in flight. */
struct sim_message {
    unsigned to;     /* index of the receiving instance */
    int delay_steps; /* left until it arrives */
    struct rp_msg msg;
};

struct sim {
    const char *program; /* test program, for the command to reproduce */
    uint32_t seed;
    GRand *rng;
    int64_t now;
    unsigned instance_count;
    /* How many of the instances start with the simulation; 0: all. The others
     * are absent at first. */
    unsigned initial_count;
    size_t min_voters;
    uint64_t next_id;
    struct instance instances[MAX_INSTANCES];
    bool link_is_cut[MAX_INSTANCES][MAX_INSTANCES]; /* [from][to] */
    GPtrArray *messages_in_flight;
    GHashTable *leader_by_term; /* term -> id of its leader */
    GPtrArray *applied_entries; /* GString by log index; NULL: not applied */
    GHashTable *proposed;       /* index -> number of the command there */
    GHashTable *acknowledged;   /* set of command numbers */
    GArray *acknowledged_in_order; /* command numbers, as guint */
    GArray *acknowledged_times;    /* of the same, as int64_t */
    unsigned next_command;
    bool inject_faults;
    bool is_group;      /* all are bootstrapped together as members */
    bool idle;          /* no proposals and reads */
    bool all_are_known; /* each instance is given the addresses of all */
};

#define CHECK(sim, condition, text)                                           \
    do {                                                                      \
        if (!(condition)) {                                                   \
            print_error("%s\nrepeat with: RP_SEED=%u "                        \
                        "build/tests/%s\n",                                   \
                        text, (sim)->seed, (sim)->program);                   \
            fail();                                                           \
        }                                                                     \
    } while (0)

/* Starts a simulation with this seed. The caller zeroes `sim` and sets
 * `program`, `is_group` and optionally `instance_count` before. By default a
 * group has 4 or 6 instances; otherwise one instance bootstraps and 2 or 4
 * others join it. */
void sim_start(struct sim *sim, uint32_t seed);

/* Frees what the simulation holds. */
void sim_end(struct sim *sim);

/* Simulates STEP_US: instances run, propose and read, and messages arrive.
 * sim_run does so `steps` times. */
void sim_step(struct sim *sim);
void sim_run(struct sim *sim, int steps);

/* Parts of a step, for runs without proposals: carries out the actions of one
 * instance; delivers the messages whose delay has passed. */
void sim_carry_out_actions(struct sim *sim, unsigned instance_index);
void sim_deliver_messages(struct sim *sim);

/* If the instance wants to join, sends a join request to those that it
 * knows. */
void sim_send_join_requests(struct sim *sim, unsigned instance_index);

/* Stops an instance; it restarts when its `down_steps` have passed.
 * sim_lose_disk also clears its disk and gives it a new id. */
void sim_stop_instance(struct sim *sim, unsigned instance_index);
void sim_lose_disk(struct sim *sim, unsigned instance_index);

/* Starts an absent instance with an empty disk; it joins by itself. Removes an
 * instance for good. */
void sim_add_instance(struct sim *sim, unsigned instance_index);
void sim_remove_instance(struct sim *sim, unsigned instance_index);

/* Whether the instance runs and is not frozen. */
bool sim_is_running(const struct sim *sim, unsigned instance_index);

/* Returns a random number from 0 to limit - 1. */
int sim_random_below(struct sim *sim, int limit);

/* Returns the time of an instance's own clock, in microseconds. */
int64_t sim_instance_clock(const struct sim *sim,
                           const struct instance *instance);

/* Ends all faults, runs `steps` steps, and checks that commands are committed
 * again, that all instances that are not absent are members with the same,
 * fresh state, and that it has every acknowledged command once. Returns how
 * many commands were acknowledged. */
unsigned sim_recover(struct sim *sim, int steps);

/* Counts how often a state contains a command. */
unsigned sim_count_command(const GString *state, guint number);

#endif
