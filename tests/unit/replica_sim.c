/* The network, disks, clocks and checks of the simulation. */
#include "replica_sim.h"

#include <stdlib.h>
#include <string.h>

#define MAX_DELAY_STEPS 8 /* steps that a message may be delayed */
#define MAX_DELAY_US ((MAX_DELAY_STEPS + 1) * STEP_US)
#define MAX_MESSAGES_IN_FLIGHT 2000
#define COMPACTION_INTERVAL 40 /* applied entries */
/* Steps until an instance opens a disk again that has refused a write, as
 * RP_STORAGE_RETRY_US. */
#define DISK_RETRY_STEPS 25

int
sim_random_below(struct sim *sim, int limit)
{
    return g_rand_int_range(sim->rng, 0, limit);
}

int64_t
sim_instance_clock(const struct sim *sim, const struct instance *instance)
{
    return sim->now + instance->clock_offset;
}

static struct rp_replica_member
make_member(const struct sim *sim, unsigned instance_index)
{
    struct rp_replica_member member = {.id = sim->instances[instance_index].id,
                                       .ip = instance_index + 1,
                                       .port = 1};
    gchar *name = g_strdup_printf("control-%u", instance_index);

    RpName_Set(&member.name, RpStr_FromC(name));
    g_free(name);
    return member;
}

static int
find_instance(const struct sim *sim, uint64_t id)
{
    for (unsigned i = 0; i < sim->instance_count; i++) {
        if (sim->instances[i].id == id) {
            return (int)i;
        }
    }
    return -1;
}

static void
free_string(gpointer data)
{
    g_string_free(data, TRUE);
}

static void
clear_disk(struct disk *disk)
{
    if (disk->snapshot) {
        RpSchema_Clear(&rp_snapshot_schema, disk->snapshot);
        g_free(disk->snapshot);
    }
    if (disk->entries) {
        g_ptr_array_unref(disk->entries);
    }
    *disk = (struct disk){
        .entries = g_ptr_array_new_with_free_func(free_string)};
}

static void
store_entry(struct disk *disk, const struct rp_log_entry *entry)
{
    g_ptr_array_add(disk->entries,
                    RpSchema_Encode(&rp_log_entry_schema, entry));
}

static void
store_snapshot(struct instance *instance, const struct rp_snapshot *snapshot)
{
    struct disk *disk = &instance->disk;
    GString *bytes = RpSchema_Encode(&rp_snapshot_schema, snapshot);
    struct rp_snapshot *copy = g_new0(struct rp_snapshot, 1);

    RpSchema_Decode(&rp_snapshot_schema,
                    (struct rp_str){.data = bytes->str, .len = bytes->len},
                    copy);
    g_string_free(bytes, TRUE);
    uint64_t term = disk->term;
    uint64_t voted_for = disk->voted_for;
    clear_disk(disk);
    disk->term = term;
    disk->voted_for = voted_for;
    disk->snapshot = copy;
    for (size_t i = 0; i < RpReplica_EntryCount(instance->replica); i++) {
        store_entry(disk, RpReplica_Entry(instance->replica, i));
    }
}

static void
truncate_stored_entries(struct disk *disk, uint64_t index)
{
    uint64_t first = disk->snapshot ? disk->snapshot->index + 1 : 1;

    g_ptr_array_set_size(disk->entries, (gint)(index - first));
}

static void
start_instance(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];
    struct disk *disk = &instance->disk;
    struct rp_replica *replica = RpReplica_Create(
        instance->id, sim->seed * 100 + instance_index,
        sim_instance_clock(sim, instance));

    RpReplica_SetMinVoters(replica, sim->min_voters);
    RpReplica_LoadVote(replica, disk->term, disk->voted_for);
    g_string_truncate(instance->state, 0);
    instance->applied = 0;
    if (disk->snapshot) {
        RpReplica_LoadSnapshot(replica, disk->snapshot);
        g_string_append_len(instance->state, disk->snapshot->data->str,
                            (gssize)disk->snapshot->data->len);
        instance->applied = disk->snapshot->index;
    }
    for (guint i = 0; i < disk->entries->len; i++) {
        const GString *bytes = g_ptr_array_index(disk->entries, i);
        struct rp_log_entry entry;
        assert_true(RpSchema_Decode(
            &rp_log_entry_schema,
            (struct rp_str){.data = bytes->str, .len = bytes->len}, &entry));
        CHECK(sim, RpReplica_LoadEntry(replica, &entry) == RP_OK,
              "the stored log has a gap");
        RpSchema_Clear(&rp_log_entry_schema, &entry);
    }
    instance->replica = replica;
    instance->leaving = false;
}

void
sim_stop_instance(struct sim *sim, unsigned instance_index)
{
    RpReplica_Free(sim->instances[instance_index].replica);
    sim->instances[instance_index].replica = NULL;
}

void
sim_lose_disk(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];

    sim_stop_instance(sim, instance_index);
    clear_disk(&instance->disk);
    instance->id = ++sim->next_id;
}

void
sim_add_instance(struct sim *sim, unsigned instance_index)
{
    sim->instances[instance_index].absent = false;
    start_instance(sim, instance_index);
}

void
sim_remove_instance(struct sim *sim, unsigned instance_index)
{
    sim_stop_instance(sim, instance_index);
    sim->instances[instance_index].absent = true;
}

static void
queue_message(struct sim *sim, unsigned from,
              const struct rp_replica_action *act)
{
    int to = find_instance(sim, act->to);
    int copies = 1;

    if (to < 0 || sim->link_is_cut[from][to]) {
        return;
    }
    if (sim->inject_faults) {
        int fault = sim_random_below(sim, 20); /* 0: lost, 1: duplicated */
        copies = fault == 0 ? 0 : fault == 1 ? 2 : 1;
    }
    while (copies-- > 0 &&
           sim->messages_in_flight->len < MAX_MESSAGES_IN_FLIGHT) {
        GString *bytes = g_string_new(NULL);
        struct sim_message *message = g_new0(struct sim_message, 1);
        RpMsg_Encode(&act->msg, bytes);
        RpMsg_Decode((struct rp_str){.data = bytes->str, .len = bytes->len},
                     &message->msg);
        message->to = (unsigned)to;
        message->delay_steps = sim->inject_faults
                                   ? sim_random_below(sim, MAX_DELAY_STEPS)
                                   : 0;
        g_ptr_array_add(sim->messages_in_flight, message);
        g_string_free(bytes, TRUE);
    }
}

/* Applies a committed entry to the state and checks that the entries arrive in
 * order and are the same on every instance. */
static void
check_and_apply_entry(struct sim *sim, struct instance *instance,
                      const struct rp_log_entry *entry)
{
    CHECK(sim, entry->index == instance->applied + 1,
          "an entry was applied out of order");
    instance->applied = entry->index;
    instance->applied_since_compaction++;
    if (sim->applied_entries->len <= entry->index) {
        g_ptr_array_set_size(sim->applied_entries, (gint)entry->index + 1);
    }
    gpointer *first_applied = &g_ptr_array_index(sim->applied_entries,
                                                 entry->index);
    GString *applied = g_string_new(NULL);
    g_string_printf(applied, "%" G_GUINT64_FORMAT "/%u/", entry->term,
                    entry->kind);
    g_string_append_len(applied, entry->data->str, (gssize)entry->data->len);
    if (!*first_applied) {
        *first_applied = g_string_new_len(applied->str, (gssize)applied->len);
    }
    CHECK(sim, g_string_equal(*first_applied, applied),
          "two replicas applied different entries");
    g_string_free(applied, TRUE);
    if (entry->kind != RP_ENTRY_COMMAND) {
        return;
    }
    g_string_append_printf(instance->state, "%s,", entry->data->str);
    /* The leader that proposed the command acknowledges it now. */
    gpointer number = g_hash_table_lookup(sim->proposed,
                                          GSIZE_TO_POINTER(entry->index));
    if (RpReplica_Role(instance->replica) == RP_REPLICA_LEADER && number &&
        GPOINTER_TO_UINT(number) ==
            (guint)strtoul(entry->data->str, NULL, 10)) {
        guint acknowledged = GPOINTER_TO_UINT(number);
        g_hash_table_add(sim->acknowledged, number);
        g_array_append_val(sim->acknowledged_in_order, acknowledged);
        g_array_append_val(sim->acknowledged_times, sim->now);
    }
}

static bool
is_store(const struct rp_replica_action *act)
{
    return act->kind == RP_REPLICA_STORE_VOTE ||
           act->kind == RP_REPLICA_STORE_ENTRY ||
           act->kind == RP_REPLICA_STORE_TRUNCATE ||
           act->kind == RP_REPLICA_STORE_SNAPSHOT;
}

/* Returns the position of the first action that a full disk refuses; the
 * number of actions if there is none. */
static guint
find_refused_store(const struct instance *instance, const GArray *actions)
{
    guint i = 0;

    while (i < actions->len &&
           !(instance->full_steps > 0 &&
             is_store(&g_array_index(actions, struct rp_replica_action, i)))) {
        i++;
    }
    return i;
}

/* Opens the disk of an instance again after it refused a write: the instance
 * starts over from what is stored. It takes part only once a write succeeds.
 */
static void
retry_disk(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];

    if (instance->retry_steps == 0 || --instance->retry_steps > 0) {
        return;
    }
    if (instance->full_steps > 0) {
        instance->retry_steps = DISK_RETRY_STEPS;
        return;
    }
    RpReplica_Free(instance->replica);
    start_instance(sim, instance_index);
}

void
sim_carry_out_actions(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];
    GArray *actions = RpReplica_TakeActions(instance->replica);
    guint limit = find_refused_store(instance, actions);

    if (limit < actions->len) {
        instance->retry_steps = DISK_RETRY_STEPS;
    }

    /* A crash between two actions: the later ones are not carried out. */
    bool crashed = sim->inject_faults && limit > 0 &&
                   instance->retry_steps == 0 &&
                   sim_random_below(sim, 3000) == 0;
    if (crashed) {
        limit = (guint)sim_random_below(sim, (int)limit);
    }
    for (guint i = 0; i < limit; i++) {
        const struct rp_replica_action *act = &g_array_index(
            actions, struct rp_replica_action, i);
        switch (act->kind) {
        case RP_REPLICA_STORE_VOTE:
            instance->disk.term = act->term;
            instance->disk.voted_for = act->voted_for;
            break;
        case RP_REPLICA_STORE_ENTRY:
            store_entry(&instance->disk, act->entry);
            break;
        case RP_REPLICA_STORE_TRUNCATE:
            truncate_stored_entries(&instance->disk, act->index);
            break;
        case RP_REPLICA_STORE_SNAPSHOT:
            store_snapshot(instance, act->snapshot);
            g_string_truncate(instance->state, 0);
            g_string_append_len(instance->state, act->snapshot->data->str,
                                (gssize)act->snapshot->data->len);
            instance->applied = act->snapshot->index;
            break;
        case RP_REPLICA_SEND:
            queue_message(sim, instance_index, act);
            break;
        case RP_REPLICA_APPLY:
            check_and_apply_entry(sim, instance, act->entry);
            break;
        case RP_REPLICA_REPORT_CHANGE:
        case RP_REPLICA_REPORT_LOST:
        case RP_REPLICA_REPORT_BAD_SNAPSHOT:
            break;
        }
    }
    RpReplica_FreeActions(actions);
    if (crashed) {
        sim_stop_instance(sim, instance_index);
        instance->down_steps = 1 + sim_random_below(sim, 100);
        return;
    }
    if (RpReplica_Role(instance->replica) == RP_REPLICA_LEADER) {
        gpointer term = GSIZE_TO_POINTER(RpReplica_Term(instance->replica));
        gpointer other = g_hash_table_lookup(sim->leader_by_term, term);
        CHECK(sim, !other || GPOINTER_TO_SIZE(other) == instance->id,
              "two leaders in one term");
        g_hash_table_insert(sim->leader_by_term, term,
                            GSIZE_TO_POINTER(instance->id));
    }
    if (instance->applied_since_compaction >= COMPACTION_INTERVAL) {
        instance->applied_since_compaction = 0;
        RpReplica_Compact(instance->replica, instance->state);
        store_snapshot(instance, RpReplica_Snapshot(instance->replica));
    }
}

bool
sim_is_running(const struct sim *sim, unsigned instance_index)
{
    const struct instance *instance = &sim->instances[instance_index];

    return instance->replica && instance->frozen_steps == 0 &&
           instance->retry_steps == 0;
}

void
sim_deliver_messages(struct sim *sim)
{
    for (guint i = 0; i < sim->messages_in_flight->len;) {
        struct sim_message *message = g_ptr_array_index(
            sim->messages_in_flight, i);
        if (message->delay_steps-- > 0) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(sim->messages_in_flight, i);
        struct instance *instance = &sim->instances[message->to];
        if (sim_is_running(sim, message->to)) {
            RpReplica_Receive(instance->replica,
                              sim_instance_clock(sim, instance),
                              &message->msg);
            sim_carry_out_actions(sim, message->to);
        }
        RpMsg_Clear(&message->msg);
        g_free(message);
    }
}

static void
propose(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];
    GString *command = g_string_new(NULL);
    uint64_t index;

    g_string_printf(command, "%u", ++sim->next_command);
    if (RpReplica_Propose(instance->replica, sim_instance_clock(sim, instance),
                          command, &index) == RP_OK) {
        g_hash_table_insert(sim->proposed, GSIZE_TO_POINTER(index),
                            GUINT_TO_POINTER(sim->next_command));
        sim_carry_out_actions(sim, instance_index);
    }
    g_string_free(command, TRUE);
}

unsigned
sim_count_command(const GString *state, guint number)
{
    gchar *wanted = g_strdup_printf("%u", number);
    gchar **commands = g_strsplit(state->str, ",", -1);
    unsigned count = 0;

    for (gchar **command = commands; *command; command++) {
        count += !strcmp(*command, wanted);
    }
    g_strfreev(commands);
    g_free(wanted);
    return count;
}

/* Starts a read, or checks the pending one if it is confirmed. */
static void
start_or_check_read(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];

    if (instance->acknowledged_before_read == 0) {
        instance->read_term = RpReplica_Term(instance->replica);
        instance->read_round = RpReplica_StartRead(
            instance->replica, sim_instance_clock(sim, instance));
        instance->acknowledged_before_read =
            instance->read_round ? sim->acknowledged_in_order->len : 0;
        sim_carry_out_actions(sim, instance_index);
        return;
    }
    if (RpReplica_ReadIsSafe(instance->replica, instance->read_term,
                             instance->read_round)) {
        guint newest = g_array_index(sim->acknowledged_in_order, guint,
                                     instance->acknowledged_before_read - 1);
        CHECK(sim, sim_count_command(instance->state, newest) == 1,
              "a confirmed read misses a command that was "
              "acknowledged before it");
        instance->acknowledged_before_read = 0;
    }
    else if (RpReplica_Term(instance->replica) != instance->read_term) {
        instance->acknowledged_before_read = 0;
    }
}

/* Checks that a replica that reports itself fresh has applied every command
 * that was acknowledged before the leader sent the round that its lease counts
 * from. */
static void
check_fresh(struct sim *sim, unsigned instance_index)
{
    const struct instance *instance = &sim->instances[instance_index];
    guint count = sim->acknowledged_in_order->len;

    if (!RpReplica_IsFresh(instance->replica,
                           sim_instance_clock(sim, instance))) {
        return;
    }
    while (count > 0 &&
           g_array_index(sim->acknowledged_times, int64_t, count - 1) >
               sim->now - RP_LEASE_US - MAX_DELAY_US) {
        count--;
    }
    CHECK(sim,
          count == 0 ||
              sim_count_command(instance->state,
                                g_array_index(sim->acknowledged_in_order,
                                              guint, count - 1)) == 1,
          "a fresh replica misses an acknowledged command");
}

/* Checks that at most one leader holds a lease: such a leader answers reads
 * without asking the others. */
static void
check_leases(struct sim *sim)
{
    unsigned holders = 0;

    for (unsigned i = 0; i < sim->instance_count; i++) {
        const struct instance *instance = &sim->instances[i];
        holders += sim_is_running(sim, i) &&
                   RpReplica_Role(instance->replica) == RP_REPLICA_LEADER &&
                   RpReplica_IsFresh(instance->replica,
                                     sim_instance_clock(sim, instance));
    }
    CHECK(sim, holders <= 1, "two leaders hold a lease");
}

void
sim_send_join_requests(struct sim *sim, unsigned instance_index)
{
    struct instance *instance = &sim->instances[instance_index];
    struct rp_replica_member self = make_member(sim, instance_index);

    if (!RpReplica_WantsToJoin(instance->replica,
                               sim_instance_clock(sim, instance))) {
        return;
    }
    for (unsigned i = 0; i < sim->instance_count; i++) {
        /* In a group, each instance knows two others from its settings, and
         * the leader may be neither of them. One that is added later is given
         * the addresses of all. */
        bool is_known = !sim->is_group || sim->all_are_known ||
                        instance_index >= sim->initial_count ||
                        i == (instance_index + 1) % sim->initial_count ||
                        i == (instance_index + 2) % sim->initial_count;
        if (i != instance_index && is_known && sim_is_running(sim, i) &&
            !sim->link_is_cut[instance_index][i]) {
            RpReplica_HandleJoin(sim->instances[i].replica,
                                 sim_instance_clock(sim, &sim->instances[i]),
                                 &self, false);
            sim_carry_out_actions(sim, i);
        }
    }
}

void
sim_step(struct sim *sim)
{
    sim->now += STEP_US;
    for (unsigned i = 0; i < sim->instance_count; i++) {
        struct instance *instance = &sim->instances[i];
        if (!instance->replica && !instance->absent &&
            --instance->down_steps <= 0) {
            start_instance(sim, i);
        }
        if (instance->frozen_steps > 0) {
            instance->frozen_steps--;
            continue;
        }
        if (!instance->replica) {
            continue;
        }
        instance->full_steps -= instance->full_steps > 0;
        retry_disk(sim, i);
        if (instance->retry_steps > 0) {
            continue;
        }
        RpReplica_Tick(instance->replica, sim_instance_clock(sim, instance));
        sim_carry_out_actions(sim, i);
        if (sim_is_running(sim, i) && sim_random_below(sim, 10) == 0) {
            sim_send_join_requests(sim, i);
        }
        if (!sim->idle && sim_is_running(sim, i) &&
            sim_random_below(sim, 5) == 0) {
            propose(sim, i);
        }
        if (sim->is_group && !sim->idle && sim_is_running(sim, i)) {
            start_or_check_read(sim, i);
        }
        if (sim->is_group && sim_is_running(sim, i)) {
            check_fresh(sim, i);
        }
    }
    sim_deliver_messages(sim);
    if (sim->is_group) {
        check_leases(sim);
    }
}

void
sim_run(struct sim *sim, int steps)
{
    for (int i = 0; i < steps; i++) {
        sim_step(sim);
    }
}

/* Checks the states after the faults. */
static void
check_states(struct sim *sim)
{
    const GString *state = NULL;
    GHashTableIter iter;
    gpointer key;

    for (unsigned i = 0; i < sim->instance_count; i++) {
        struct instance *instance = &sim->instances[i];
        if (instance->absent) {
            continue;
        }
        CHECK(sim, instance->replica && RpReplica_IsMember(instance->replica),
              "a replica is not running or not a member after the faults");
        state = state ? state : instance->state;
        CHECK(sim, g_string_equal(instance->state, state),
              "replicas have different states after the faults");
        CHECK(sim,
              RpReplica_IsFresh(instance->replica,
                                sim_instance_clock(sim, instance)),
              "a replica is not fresh after the faults");
    }
    g_hash_table_iter_init(&iter, sim->acknowledged);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        CHECK(sim, sim_count_command(state, GPOINTER_TO_UINT(key)) == 1,
              "an acknowledged command is lost or applied twice");
    }
}

unsigned
sim_recover(struct sim *sim, int steps)
{
    unsigned before = g_hash_table_size(sim->acknowledged);

    sim->inject_faults = false;
    memset(sim->link_is_cut, 0, sizeof sim->link_is_cut);
    for (unsigned i = 0; i < sim->instance_count; i++) {
        sim->instances[i].frozen_steps = 0;
        sim->instances[i].down_steps = 0;
    }
    sim_run(sim, steps);
    unsigned acknowledged = g_hash_table_size(sim->acknowledged);
    CHECK(sim, acknowledged > before,
          "no command is committed after the faults");
    /* Let the next heartbeats carry the commit index to all followers. */
    for (int i = 0; i < 100; i++) {
        sim->now += STEP_US;
        for (unsigned j = 0; j < sim->instance_count; j++) {
            if (!sim->instances[j].absent) {
                RpReplica_Tick(sim->instances[j].replica,
                               sim_instance_clock(sim, &sim->instances[j]));
                sim_carry_out_actions(sim, j);
            }
        }
        sim_deliver_messages(sim);
    }
    check_states(sim);
    return acknowledged;
}

/* Bootstraps all instances with the same list of members. */
static void
bootstrap_group(struct sim *sim)
{
    GArray *members = RpSchema_NewList(&rp_replica_member_schema);

    for (unsigned i = 0; i < sim->initial_count; i++) {
        struct rp_replica_member member = make_member(sim, i);
        member.voter = 1;
        g_array_append_val(members, member);
    }
    for (unsigned i = 0; i < sim->initial_count; i++) {
        RpReplica_BootstrapGroup(sim->instances[i].replica, members);
        sim_carry_out_actions(sim, i);
    }
    g_array_free(members, TRUE);
}

void
sim_start(struct sim *sim, uint32_t seed)
{
    sim->seed = seed;
    sim->rng = g_rand_new_with_seed(seed);
    if (sim->instance_count == 0) {
        sim->instance_count = sim->is_group ? (seed % 2 ? 4 : 6)
                                            : (seed % 2 ? 3 : 5);
    }
    if (sim->initial_count == 0) {
        sim->initial_count = sim->instance_count;
    }
    sim->acknowledged_in_order = g_array_new(FALSE, FALSE, sizeof(guint));
    sim->acknowledged_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    sim->now = 1000 * RP_US_PER_SECOND;
    sim->messages_in_flight = g_ptr_array_new();
    sim->leader_by_term = g_hash_table_new(NULL, NULL);
    sim->applied_entries = g_ptr_array_new();
    sim->proposed = g_hash_table_new(NULL, NULL);
    sim->acknowledged = g_hash_table_new(NULL, NULL);
    for (unsigned i = 0; i < sim->instance_count; i++) {
        struct instance *instance = &sim->instances[i];
        instance->id = ++sim->next_id;
        instance->clock_offset = sim_random_below(sim, 100) * RP_US_PER_SECOND;
        instance->state = g_string_new(NULL);
        clear_disk(&instance->disk);
        instance->absent = i >= sim->initial_count;
        if (!instance->absent) {
            start_instance(sim, i);
        }
    }
    if (sim->is_group) {
        bootstrap_group(sim);
        return;
    }
    struct rp_replica_member first = make_member(sim, 0);
    RpReplica_Bootstrap(sim->instances[0].replica, &first);
    sim_carry_out_actions(sim, 0);
}

void
sim_end(struct sim *sim)
{
    for (unsigned i = 0; i < sim->instance_count; i++) {
        struct instance *instance = &sim->instances[i];
        RpReplica_Free(instance->replica);
        clear_disk(&instance->disk);
        g_ptr_array_unref(instance->disk.entries);
        g_string_free(instance->state, TRUE);
    }
    for (guint i = 0; i < sim->messages_in_flight->len; i++) {
        struct sim_message *message = g_ptr_array_index(
            sim->messages_in_flight, i);
        RpMsg_Clear(&message->msg);
        g_free(message);
    }
    g_ptr_array_unref(sim->messages_in_flight);
    for (guint i = 0; i < sim->applied_entries->len; i++) {
        GString *seen = g_ptr_array_index(sim->applied_entries, i);
        if (seen) {
            g_string_free(seen, TRUE);
        }
    }
    g_ptr_array_unref(sim->applied_entries);
    g_hash_table_destroy(sim->leader_by_term);
    g_hash_table_destroy(sim->proposed);
    g_hash_table_destroy(sim->acknowledged);
    g_array_free(sim->acknowledged_in_order, TRUE);
    g_array_free(sim->acknowledged_times, TRUE);
    g_rand_free(sim->rng);
}
