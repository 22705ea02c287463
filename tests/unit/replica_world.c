#include "replica_world.h"

#include <stdlib.h>
#include <string.h>

#define MAX_DELAY 8 /* steps that a message may take */
#define MAX_DELAY_US ((MAX_DELAY + 1) * STEP_US)
#define MAX_FLIGHTS 2000
#define COMPACT_EVERY 40 /* applied entries */

int
world_roll(struct world *world, int sides)
{
    return g_rand_int_range(world->dice, 0, sides);
}

int64_t
world_clock(const struct world *world, const struct instance *instance)
{
    return world->now + instance->skew;
}

static struct rp_replica_member
member_of(const struct world *world, unsigned slot)
{
    struct rp_replica_member member = {
        .id = world->instances[slot].id, .ip = slot + 1, .port = 1};
    gchar *name = g_strdup_printf("control-%u", slot);

    RpName_Set(&member.name, RpStr_FromC(name));
    g_free(name);
    return member;
}

static int
slot_of(const struct world *world, uint64_t id)
{
    for (unsigned i = 0; i < world->slots; i++) {
        if (world->instances[i].id == id) {
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
wipe_disk(struct disk *disk)
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
    wipe_disk(disk);
    disk->term = term;
    disk->voted_for = voted_for;
    disk->snapshot = copy;
    for (size_t i = 0; i < RpReplica_EntryCount(instance->replica); i++) {
        store_entry(disk, RpReplica_Entry(instance->replica, i));
    }
}

static void
truncate_disk(struct disk *disk, uint64_t index)
{
    uint64_t first = disk->snapshot ? disk->snapshot->index + 1 : 1;

    g_ptr_array_set_size(disk->entries, (gint)(index - first));
}

static void
start_instance(struct world *world, unsigned slot)
{
    struct instance *instance = &world->instances[slot];
    struct disk *disk = &instance->disk;
    struct rp_replica *replica = RpReplica_Create(
        instance->id, world->seed * 100 + slot, world_clock(world, instance));

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
        CHECK(world, RpReplica_LoadEntry(replica, &entry) == RP_OK,
              "a stored entry is missing");
        RpSchema_Clear(&rp_log_entry_schema, &entry);
    }
    instance->replica = replica;
}

void
world_stop_instance(struct world *world, unsigned slot)
{
    RpReplica_Free(world->instances[slot].replica);
    world->instances[slot].replica = NULL;
}

void
world_lose_disk(struct world *world, unsigned slot)
{
    struct instance *instance = &world->instances[slot];

    world_stop_instance(world, slot);
    wipe_disk(&instance->disk);
    instance->id = ++world->next_id;
}

static void
put_on_wire(struct world *world, unsigned from,
            const struct rp_replica_action *act)
{
    int to = slot_of(world, act->to);
    int copies = 1;

    if (to < 0 || world->cut[from][to]) {
        return;
    }
    if (world->faulty) {
        int luck = world_roll(world, 20);
        copies = luck == 0 ? 0 : luck == 1 ? 2 : 1;
    }
    while (copies-- > 0 && world->flights->len < MAX_FLIGHTS) {
        GString *bytes = g_string_new(NULL);
        struct flight *flight = g_new0(struct flight, 1);
        RpMsg_Encode(&act->msg, bytes);
        RpMsg_Decode((struct rp_str){.data = bytes->str, .len = bytes->len},
                     &flight->msg);
        flight->to = (unsigned)to;
        flight->delay = world->faulty ? world_roll(world, MAX_DELAY) : 0;
        g_ptr_array_add(world->flights, flight);
        g_string_free(bytes, TRUE);
    }
}

/* A committed entry is applied: the same one everywhere, once. */
static void
apply(struct world *world, struct instance *instance,
      const struct rp_log_entry *entry)
{
    CHECK(world, entry->index == instance->applied + 1,
          "an entry was applied out of order");
    instance->applied = entry->index;
    instance->since_compact++;
    if (world->history->len <= entry->index) {
        g_ptr_array_set_size(world->history, (gint)entry->index + 1);
    }
    gpointer *seen = &g_ptr_array_index(world->history, entry->index);
    GString *what = g_string_new(NULL);
    g_string_printf(what, "%" G_GUINT64_FORMAT "/%u/", entry->term,
                    entry->kind);
    g_string_append_len(what, entry->data->str, (gssize)entry->data->len);
    if (!*seen) {
        *seen = g_string_new_len(what->str, (gssize)what->len);
    }
    CHECK(world, g_string_equal(*seen, what),
          "two replicas applied different entries");
    g_string_free(what, TRUE);
    if (entry->kind != RP_ENTRY_COMMAND) {
        return;
    }
    g_string_append_printf(instance->state, "%s,", entry->data->str);
    /* The leader that proposed it acknowledges it now. */
    gpointer number = g_hash_table_lookup(world->proposed,
                                          GSIZE_TO_POINTER(entry->index));
    if (RpReplica_Role(instance->replica) == RP_REPLICA_LEADER && number &&
        GPOINTER_TO_UINT(number) ==
            (guint)strtoul(entry->data->str, NULL, 10)) {
        guint acknowledged = GPOINTER_TO_UINT(number);
        g_hash_table_add(world->acknowledged, number);
        g_array_append_val(world->in_order, acknowledged);
        g_array_append_val(world->times, world->now);
    }
}

void
world_carry_out(struct world *world, unsigned slot)
{
    struct instance *instance = &world->instances[slot];
    GArray *actions = RpReplica_TakeActions(instance->replica);
    guint limit = actions->len;

    /* A kill in the middle: what comes later was never done. */
    bool killed = world->faulty && limit > 0 && world_roll(world, 3000) == 0;
    if (killed) {
        limit = (guint)world_roll(world, (int)limit);
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
            truncate_disk(&instance->disk, act->index);
            break;
        case RP_REPLICA_STORE_SNAPSHOT:
            store_snapshot(instance, act->snapshot);
            g_string_truncate(instance->state, 0);
            g_string_append_len(instance->state, act->snapshot->data->str,
                                (gssize)act->snapshot->data->len);
            instance->applied = act->snapshot->index;
            break;
        case RP_REPLICA_SEND:
            put_on_wire(world, slot, act);
            break;
        case RP_REPLICA_APPLY:
            apply(world, instance, act->entry);
            break;
        }
    }
    RpReplica_FreeActions(actions);
    if (killed) {
        world_stop_instance(world, slot);
        instance->down = 1 + world_roll(world, 100);
        return;
    }
    if (RpReplica_Role(instance->replica) == RP_REPLICA_LEADER) {
        gpointer term = GSIZE_TO_POINTER(RpReplica_Term(instance->replica));
        gpointer other = g_hash_table_lookup(world->leaders, term);
        CHECK(world, !other || GPOINTER_TO_SIZE(other) == instance->id,
              "two leaders in one term");
        g_hash_table_insert(world->leaders, term,
                            GSIZE_TO_POINTER(instance->id));
    }
    if (instance->since_compact >= COMPACT_EVERY) {
        instance->since_compact = 0;
        RpReplica_Compact(instance->replica, instance->state);
        store_snapshot(instance, RpReplica_Snapshot(instance->replica));
    }
}

static bool
is_running(const struct world *world, unsigned slot)
{
    const struct instance *instance = &world->instances[slot];

    return instance->replica && instance->frozen == 0;
}

void
world_deliver(struct world *world)
{
    for (guint i = 0; i < world->flights->len;) {
        struct flight *flight = g_ptr_array_index(world->flights, i);
        if (flight->delay-- > 0) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(world->flights, i);
        struct instance *instance = &world->instances[flight->to];
        if (is_running(world, flight->to)) {
            RpReplica_Receive(instance->replica, world_clock(world, instance),
                              &flight->msg);
            world_carry_out(world, flight->to);
        }
        RpMsg_Clear(&flight->msg);
        g_free(flight);
    }
}

static void
propose(struct world *world, unsigned slot)
{
    struct instance *instance = &world->instances[slot];
    GString *command = g_string_new(NULL);
    uint64_t index;

    g_string_printf(command, "%u", ++world->next_command);
    if (RpReplica_Propose(instance->replica, world_clock(world, instance),
                          command, &index) == RP_OK) {
        g_hash_table_insert(world->proposed, GSIZE_TO_POINTER(index),
                            GUINT_TO_POINTER(world->next_command));
        world_carry_out(world, slot);
    }
    g_string_free(command, TRUE);
}

unsigned
world_count_command(const GString *state, guint number)
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

/* Begins a read, or checks the one that is under way. */
static void
read_state(struct world *world, unsigned slot)
{
    struct instance *instance = &world->instances[slot];

    if (instance->read_from == 0) {
        instance->read_term = RpReplica_Term(instance->replica);
        instance->read_round = RpReplica_StartRead(
            instance->replica, world_clock(world, instance));
        instance->read_from = instance->read_round ? world->in_order->len : 0;
        world_carry_out(world, slot);
        return;
    }
    if (RpReplica_ReadIsSafe(instance->replica, instance->read_term,
                             instance->read_round)) {
        guint newest = g_array_index(world->in_order, guint,
                                     instance->read_from - 1);
        CHECK(world, world_count_command(instance->state, newest) == 1,
              "a confirmed read misses what was acknowledged before it");
        instance->read_from = 0;
    }
    else if (RpReplica_Term(instance->replica) != instance->read_term) {
        instance->read_from = 0;
    }
}

/* A replica that says that it is fresh has all that was acknowledged before
 * the leader sent the contact by which its lease began. */
static void
check_fresh(struct world *world, unsigned slot)
{
    const struct instance *instance = &world->instances[slot];
    guint count = world->in_order->len;

    if (!RpReplica_IsFresh(instance->replica, world_clock(world, instance))) {
        return;
    }
    while (count > 0 && g_array_index(world->times, int64_t, count - 1) >
                            world->now - RP_LEASE_US - MAX_DELAY_US) {
        count--;
    }
    CHECK(
        world,
        count == 0 || world_count_command(instance->state,
                                          g_array_index(world->in_order, guint,
                                                        count - 1)) == 1,
        "a replica says that it is fresh and misses an acknowledged command");
}

/* A leader whose lease holds may answer by itself: no other may then. */
static void
check_leases(struct world *world)
{
    unsigned holders = 0;

    for (unsigned i = 0; i < world->slots; i++) {
        const struct instance *instance = &world->instances[i];
        holders += is_running(world, i) &&
                   RpReplica_Role(instance->replica) == RP_REPLICA_LEADER &&
                   RpReplica_IsFresh(instance->replica,
                                     world_clock(world, instance));
    }
    CHECK(world, holders <= 1, "two leaders hold a lease");
}

/* Replicas that are not members ask the others to let them in. */
void
world_ask_to_join(struct world *world, unsigned slot)
{
    struct instance *instance = &world->instances[slot];
    struct rp_replica_member self = member_of(world, slot);

    if (!RpReplica_WantsToJoin(instance->replica,
                               world_clock(world, instance))) {
        return;
    }
    for (unsigned i = 0; i < world->slots; i++) {
        /* Of a group each knows two others from its settings, and the leader
         * may be none of them. */
        bool is_known = !world->group || i == (slot + 1) % world->slots ||
                        i == (slot + 2) % world->slots;
        if (i != slot && is_known && is_running(world, i) &&
            !world->cut[slot][i]) {
            RpReplica_Join(world->instances[i].replica,
                           world_clock(world, &world->instances[i]), &self,
                           false);
            world_carry_out(world, i);
        }
    }
}

void
world_step(struct world *world)
{
    world->now += STEP_US;
    for (unsigned i = 0; i < world->slots; i++) {
        struct instance *instance = &world->instances[i];
        if (!instance->replica && --instance->down <= 0) {
            start_instance(world, i);
        }
        if (instance->frozen > 0) {
            instance->frozen--;
            continue;
        }
        if (!instance->replica) {
            continue;
        }
        RpReplica_Tick(instance->replica, world_clock(world, instance));
        world_carry_out(world, i);
        if (is_running(world, i) && world_roll(world, 10) == 0) {
            world_ask_to_join(world, i);
        }
        if (!world->quiet && is_running(world, i) &&
            world_roll(world, 5) == 0) {
            propose(world, i);
        }
        if (world->group && !world->quiet && is_running(world, i)) {
            read_state(world, i);
        }
        if (world->group && is_running(world, i)) {
            check_fresh(world, i);
        }
    }
    world_deliver(world);
    if (world->group) {
        check_leases(world);
    }
}

/* All make the same first entry. */
static void
start_group(struct world *world)
{
    GArray *members = RpSchema_NewList(&rp_replica_member_schema);

    for (unsigned i = 0; i < world->slots; i++) {
        struct rp_replica_member member = member_of(world, i);
        member.voter = 1;
        g_array_append_val(members, member);
    }
    for (unsigned i = 0; i < world->slots; i++) {
        RpReplica_BootstrapGroup(world->instances[i].replica, members);
        world_carry_out(world, i);
    }
    g_array_free(members, TRUE);
}

void
world_start(struct world *world, uint32_t seed)
{
    world->seed = seed;
    world->dice = g_rand_new_with_seed(seed);
    if (world->slots == 0) {
        world->slots = world->group ? (seed % 2 ? 4 : 6) : (seed % 2 ? 3 : 5);
    }
    world->in_order = g_array_new(FALSE, FALSE, sizeof(guint));
    world->times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    world->now = 1000 * RP_US_PER_SECOND;
    world->flights = g_ptr_array_new();
    world->leaders = g_hash_table_new(NULL, NULL);
    world->history = g_ptr_array_new();
    world->proposed = g_hash_table_new(NULL, NULL);
    world->acknowledged = g_hash_table_new(NULL, NULL);
    for (unsigned i = 0; i < world->slots; i++) {
        struct instance *instance = &world->instances[i];
        instance->id = ++world->next_id;
        instance->skew = world_roll(world, 100) * RP_US_PER_SECOND;
        instance->state = g_string_new(NULL);
        wipe_disk(&instance->disk);
        start_instance(world, i);
    }
    if (world->group) {
        start_group(world);
        return;
    }
    struct rp_replica_member first = member_of(world, 0);
    RpReplica_Bootstrap(world->instances[0].replica, &first);
    world_carry_out(world, 0);
}

void
world_end(struct world *world)
{
    for (unsigned i = 0; i < world->slots; i++) {
        struct instance *instance = &world->instances[i];
        RpReplica_Free(instance->replica);
        wipe_disk(&instance->disk);
        g_ptr_array_unref(instance->disk.entries);
        g_string_free(instance->state, TRUE);
    }
    for (guint i = 0; i < world->flights->len; i++) {
        struct flight *flight = g_ptr_array_index(world->flights, i);
        RpMsg_Clear(&flight->msg);
        g_free(flight);
    }
    g_ptr_array_unref(world->flights);
    for (guint i = 0; i < world->history->len; i++) {
        GString *seen = g_ptr_array_index(world->history, i);
        if (seen) {
            g_string_free(seen, TRUE);
        }
    }
    g_ptr_array_unref(world->history);
    g_hash_table_destroy(world->leaders);
    g_hash_table_destroy(world->proposed);
    g_hash_table_destroy(world->acknowledged);
    g_array_free(world->in_order, TRUE);
    g_array_free(world->times, TRUE);
    g_rand_free(world->dice);
}
