/* The control role: stores the configuration, collects the announcements of
 * agents and distributes tables to nodes. */
#include "control.h"

#include <sodium.h>
#include <unistd.h>

#include "rp_bytes.h"
#include "rp_journal.h"
#include "rp_clock.h"

#define TICK_MS 20
/* A tick that comes this late means that the process was paused. */
#define PAUSE_US (300 * RP_US_PER_MS)
#define REPORT_INTERVAL_US (1 * RP_US_PER_SECOND)
/* How long a planned stop waits for the group to do without this replica: long
 * enough to elect a new leader, catch up a replacement and commit two changes
 * of the members. */
#define LEAVE_TIMEOUT_US (4 * RP_US_PER_SECOND)
#define FLOW_LIFETIME_MAX 31536000 /* seconds */

#define TOLERATE_SETTING(name, member, text)                                  \
    {                                                                         \
        .flag = name, .kind = RP_SETTING_UINT,                                \
        .offset = offsetof(struct control_settings, member), .value = "N",    \
        .help = text, .fallback = "0", .max = RP_REPLICA_MEMBERS_MAX / 2      \
    }

static const struct rp_setting settings_table[] = {
    RP_COMMON_SETTINGS(control_settings, common),
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct control_settings, listen),
     .value = "ADDR:PORT",
     .help = "accept connections from nodes, operators and other replicas on "
             "this address"},
    {.flag = "data",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct control_settings, data),
     .value = "FOLDER",
     .help = "store the state in this folder; without it this instance "
             "stores nothing and only redirects to the others",
     .optional = true},
    {.flag = "control",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct control_settings, peers),
     .value = "ADDR:PORT,…",
     .help = "addresses of all control instances, including this one",
     .optional = true},
    {.flag = "create",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct control_settings, create),
     .help = "create the first replica of a new system, then exit"},
    {.flag = "check-data",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct control_settings, check_data),
     .help = "check the data folder, print the result and exit"},
    {.flag = "bootstrap",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct control_settings, bootstrap),
     .help = "first start of a new system: the instances in --control are "
             "its initial replicas"},
    TOLERATE_SETTING("tolerate-instances", tolerate_instances,
                     "control instances that may fail or lose their disks at "
                     "the same time; 0: not known"),
    TOLERATE_SETTING("tolerate-zones", tolerate_zones,
                     "data centres that may fail at the same time"),
    TOLERATE_SETTING("tolerate-regions", tolerate_regions,
                     "regions that may fail at the same time"),
    {.flag = "flow-lifetime-seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct control_settings, flow_lifetime_seconds),
     .value = "N",
     .help = "no flow is open for longer than this; when an address moves to "
             "another service, packets of open flows are also sent to the "
             "service that had it before for this time; 0: no limit",
     .fallback = "0",
     .max = FLOW_LIFETIME_MAX},
    {.flag = "memory-mb",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct control_settings, memory_mb),
     .value = "N",
     .help = "memory that this process may use, in MiB; larger "
             "configurations than fit are refused; 0: as much as the machine "
             "has",
     .fallback = "0",
     .max = 1u << 20},
    {.flag = "zones",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct control_settings, zones),
     .value = "NAME,…",
     .help = "the data centres that can be evacuated; without it, any",
     .optional = true},
    {.flag = "operator-http",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct control_settings, operator_http),
     .value = "ADDR:PORT",
     .help = "accept whole configurations from the operator over HTTP on this "
             "address",
     .optional = true},
    RP_CONTROL_PORT_SETTING(control_settings, control_port),
};

static struct rp_replica *
get_replica(const struct control *control)
{
    return RpControlReplica_Replica(control->replica);
}

static const struct rp_catalog *
get_catalog(const struct control *control)
{
    return RpControlReplica_Catalog(control->replica);
}

static void
send_to_replica(void *user, uint64_t to, const struct rp_msg *msg)
{
    const struct control *control = user;

    if (control->links) {
        RpControlLinks_Send(control->links, to, msg);
    }
}

static void
on_entry_applied(void *user, const struct rp_log_entry *entry,
                 const struct rp_msg_change_reply *reply)
{
    const struct control *control = user;

    /* With --create no nodes are served and no distribution exists. */
    if (control->distribution) {
        RpControl_OnApplied(user, entry, reply);
    }
}

static void
on_catalog_restored(void *user)
{
    const struct control *control = user;

    if (RpControlReplica_IsWorking(control->replica)) {
        RpLog_Event(control->daemon.log, RP_LOG_INFO, "state_restored",
                    "revision=%" G_GUINT64_FORMAT,
                    RpCatalog_Revision(get_catalog(control)));
    }
    RpDistribution_MarkAllChanged(control->distribution, RpClock_Now());
}

static void
on_storage_failed(void *user, const struct rp_error *error)
{
    const struct control *control = user;

    if (!control->daemon.log) {
        RpDaemon_PrintFindings(error);
    }
    RpDaemon_LogFindings(&control->daemon, RP_LOG_ERROR, "storage_failed", "",
                         error);
}

static void
on_snapshot_refused(void *user, uint64_t index)
{
    const struct control *control = user;

    RpLog_Event(control->daemon.log, RP_LOG_ERROR, "snapshot_refused",
                "index=%" G_GUINT64_FORMAT " reason=does_not_decode", index);
}

static const struct rp_control_replica_ops replica_ops = {
    .send = send_to_replica,
    .applied = on_entry_applied,
    .restored = on_catalog_restored,
    .member_change = RpControl_LogMemberChange,
    .disk_lost = RpControl_LogDiskLost,
    .snapshot_refused = on_snapshot_refused,
    .failed = on_storage_failed};

static void
propose_command(struct control *control, GString *command)
{
    uint64_t index;
    uint64_t term;

    if (RpControlReplica_Propose(control->replica, RpClock_Now(), command,
                                 &index, &term) == RP_OK) {
        RpControlReplica_RunActions(control->replica);
    }
    g_string_free(command, TRUE);
}

/* Forgets former targets of virtual addresses once the flows of their time
 * must have ended. */
static void
expire_former_targets(struct control *control, int64_t now)
{
    uint64_t newest = RpCatalog_FormerRevision(get_catalog(control));
    uint64_t routed = RpControlLinks_LowestRouted(
        control->links, now,
        RpDistribution_LowestRouted(control->distribution, now));
    int64_t lifetime = control->settings.flow_lifetime_seconds *
                       RP_US_PER_SECOND;
    uint64_t due = lifetime == 0
                       ? 0
                       : RpFormerExpiry_Update(&control->former_expiry, now,
                                               newest, routed, lifetime);

    if (due > 0) {
        propose_command(control, RpCatalog_EncodeExpireFormer(due));
    }
}

/* Runs the leader's own duties: gives a new system its hash key, releases the
 * addresses in quarantine once no node uses them, and forgets former targets
 * of virtual addresses. */
static void
run_leader_duties(struct control *control, int64_t now)
{
    const struct rp_catalog *catalog = get_catalog(control);
    uint8_t hash_key[RP_HASH_KEY_SIZE];

    if (!RpReplica_IsFresh(get_replica(control), now)) {
        return;
    }
    if (!RpCatalog_IsInitialised(catalog)) {
        randombytes_buf(hash_key, sizeof hash_key);
        propose_command(control, RpCatalog_EncodeInit(hash_key));
        return;
    }
    uint64_t quarantine_revision = RpCatalog_QuarantineRevision(catalog);
    uint64_t own = RpDistribution_LowestConfirmed(control->distribution);
    if (quarantine_revision &&
        RpControlLinks_LowestConfirmed(control->links, now, own) >=
            quarantine_revision) {
        propose_command(control, RpCatalog_EncodeRelease(quarantine_revision));
    }
    expire_former_targets(control, now);
}

/* Runs once per REPORT_INTERVAL_US: sends the other replicas the lowest
 * revisions that this replica's nodes have confirmed and may route by, and
 * runs the leader's duties. */
static void
run_periodic_tasks(struct control *control, int64_t now)
{
    if (now < control->next_periodic_run) {
        return;
    }
    control->next_periodic_run = now + REPORT_INTERVAL_US;
    const struct rp_msg msg = {
        .type = RP_MSG_CONFIRM,
        .confirm = {
            .revision = RpDistribution_LowestConfirmed(control->distribution),
            .routed = RpDistribution_LowestRouted(control->distribution,
                                                  now)}};
    RpControlLinks_SendAll(control->links, &msg);
    RpControl_LogMemoryIfChanged(control);
    if (RpReplica_Role(get_replica(control)) == RP_REPLICA_LEADER) {
        run_leader_duties(control, now);
    }
    else {
        control->former_expiry = (struct rp_former_expiry){0};
    }
}

/* Updates whether this replica is fresh or cut off from the leader. After a
 * change, updates the distribution and the registry. Closes the connections of
 * its nodes when the disconnect policy says so. */
static void
update_freshness(struct control *control, int64_t now)
{
    bool has_log = RpReplica_Members(get_replica(control))->len > 0;
    bool fresh = RpReplica_IsFresh(get_replica(control), now);

    if (RpDisconnectPolicy_Update(&control->disconnect_policy, now, has_log,
                                  fresh)) {
        RpDistribution_SetFresh(control->distribution, now, fresh);
        RpRegistry_SetCutOff(control->registry, now, !fresh);
        RpLog_Event(control->daemon.log, fresh ? RP_LOG_INFO : RP_LOG_WARN,
                    fresh ? "replica_fresh" : "replica_cut_off", "role=%s",
                    RpReplica_RoleName(get_replica(control)));
    }
    if (RpDisconnectPolicy_ShouldDisconnect(&control->disconnect_policy,
                                            now)) {
        RpControl_DisconnectNodes(control);
    }
}

static void
expire_leases(struct control *control, int64_t now)
{
    struct rp_msg msg = {.type = RP_MSG_ANNOUNCE};

    while (RpRegistry_Expire(control->registry, now, &msg.announce)) {
        RpDistribution_MarkServiceChanged(control->distribution, now,
                                          &msg.announce.service);
        if (msg.announce.state != RP_UPSTREAM_LOST) {
            continue;
        }
        RpCounters_Add(&control->daemon.counters, RP_COUNT_LEASE_EXPIRED);
        RpLog_Event(control->daemon.log, RP_LOG_WARN, "upstream_lease_over",
                    "upstream=%s service=%s", msg.announce.upstream.data,
                    msg.announce.service.data);
        RpControlLinks_SendAll(control->links, &msg);
    }
}

/* Logs a line when the role, leader or term of this replica has changed. */
static void
log_role_change(struct control *control)
{
    const struct rp_replica *replica = get_replica(control);
    const struct rp_replica_member *leader = RpReplica_Leader(replica);
    uint64_t leader_id = leader ? leader->id : 0;

    if (RpReplica_Role(replica) == control->logged_role &&
        leader_id == control->logged_leader &&
        RpReplica_Term(replica) == control->logged_term) {
        return;
    }
    control->logged_role = RpReplica_Role(replica);
    control->logged_leader = leader_id;
    control->logged_term = RpReplica_Term(replica);
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "replica_role",
                "role=%s term=%" G_GUINT64_FORMAT
                " leader=%s committed=%" G_GUINT64_FORMAT " members=%u",
                RpReplica_RoleName(replica), control->logged_term,
                leader ? leader->name.data : "none",
                RpReplica_CommitIndex(replica),
                RpReplica_Members(replica)->len);
}

/* Detects that the process was stopped or its machine suspended, so that it
 * could not read what others sent meanwhile. */
static void
detect_pause(struct control *control, int64_t now)
{
    int64_t pause = now - control->ticked_at;

    if (control->ticked_at != 0 && pause >= PAUSE_US) {
        RpLog_Event(control->daemon.log, RP_LOG_WARN, "process_paused",
                    "ms=%" G_GINT64_FORMAT, pause / RP_US_PER_MS);
        RpRegistry_RecordPause(control->registry, now, pause);
    }
    control->ticked_at = now;
}

/* Ends the process of a replica that is to stop, once the group can do without
 * it or the deadline has passed. */
static void
stop_if_possible(struct control *control, int64_t now)
{
    bool may_stop = RpControlReplica_MayStop(control->replica);

    if (!may_stop && now < control->leave_deadline) {
        return;
    }
    RpLog_Event(control->daemon.log, may_stop ? RP_LOG_INFO : RP_LOG_WARN,
                "replica_stops", "role=%s in_time=%d",
                RpReplica_RoleName(get_replica(control)), may_stop);
    RpDaemon_Quit(&control->daemon, RP_EXIT_OK);
}

static gboolean
on_tick(gpointer data)
{
    struct control *control = data;
    int64_t now = RpClock_Now();

    detect_pause(control, now);
    RpControlReplica_Tick(control->replica, now);
    log_role_change(control);
    RpControl_LogMembersIfChanged(control);
    RpControlLinks_Tick(control->links, now);
    update_freshness(control, now);
    RpControl_LogLackOfQuorum(control, now);
    expire_leases(control, now);
    run_periodic_tasks(control, now);
    RpDistribution_Flush(control->distribution, now);
    RpControl_SendMembersIfChanged(control);
    if (control->editions) {
        RpControlEditions_AnswerPending(control->editions, now);
    }
    control->daemon.counters.value[RP_COUNT_TABLE_WITHHELD] =
        RpDistribution_WithheldCount(control->distribution);
    if (control->leave_deadline != 0) {
        stop_if_possible(control, now);
    }
    return G_SOURCE_CONTINUE;
}

static bool
is_healthy(void *user, GString *why)
{
    const struct control *control = user;

    if (!control->disconnect_policy.fresh) {
        g_string_append(why, "cut off from the leader");
        return false;
    }
    g_string_append(why, "ok");
    return true;
}

static guint
count_evacuated(const struct control *control)
{
    GArray *list = RpCatalog_ListEvacuated(get_catalog(control));
    guint count = list->len;

    g_array_free(list, TRUE);
    return count;
}

static void
write_gauges(void *user, GString *out)
{
    const struct control *control = user;
    const struct rp_replica *replica = get_replica(control);

    g_string_append_printf(
        out,
        "revision %" G_GUINT64_FORMAT "\nlowest_confirmed %" G_GUINT64_FORMAT
        "\nlowest_routed %" G_GUINT64_FORMAT
        "\nconnections %u\nterm %" G_GUINT64_FORMAT
        "\ncommitted %" G_GUINT64_FORMAT
        "\nleads %d\nfresh %d\nreplica_links %u\nzones_evacuated %u\n",
        RpCatalog_Revision(get_catalog(control)),
        RpDistribution_LowestConfirmed(control->distribution),
        RpDistribution_LowestRouted(control->distribution, RpClock_Now()),
        g_hash_table_size(control->clients), RpReplica_Term(replica),
        RpReplica_CommitIndex(replica),
        RpReplica_Role(replica) == RP_REPLICA_LEADER,
        control->disconnect_policy.fresh, RpControlLinks_Count(control->links),
        count_evacuated(control));
    RpControl_WriteMemberGauges(control, out);
    RpControl_WriteMemoryGauges(control, out);
}

static const struct rp_admin_ops admin_ops = {.healthy = is_healthy,
                                              .gauges = write_gauges};

static void
on_stop(void *user)
{
    struct control *control = user;
    int64_t now = RpClock_Now();

    control->leave_deadline = now + LEAVE_TIMEOUT_US;
    RpControlReplica_Leave(control->replica);
    stop_if_possible(control, now);
}

size_t
RpControl_EditionMax(const struct control_settings *settings)
{
    uint64_t bytes = (uint64_t)settings->memory_mb << 20;
    long pages = sysconf(_SC_PHYS_PAGES);
    long page_size = sysconf(_SC_PAGESIZE);

    if (bytes == 0 && pages > 0 && page_size > 0) {
        bytes = (uint64_t)pages * (uint64_t)page_size;
    }
    return RpPlatform_EditionMax(bytes);
}

void
RpControl_DescribeSettings(struct rp_daemon *daemon,
                           const struct control_settings *settings)
{
    char listen[RP_ENDPOINT_TEXT_MAX];
    char operator_http[RP_ENDPOINT_TEXT_MAX];
    gchar *pairs = g_strdup_printf(
        "listen=%s operator_http=%s data=%d bootstrap=%d",
        RpEndpoint_Format(settings->listen, listen),
        RpEndpoint_Format(settings->operator_http, operator_http),
        settings->data != NULL, settings->bootstrap);

    RpDaemon_DescribeSettings(daemon, &settings->peers, pairs);
    g_free(pairs);
}

/* Returns how many voters the group must keep; 0: not known. How many of them
 * a whole data centre or region takes along is not known here. */
static size_t
min_voters(const struct control_settings *settings)
{
    if (settings->tolerate_instances == 0 || settings->tolerate_zones > 0 ||
        settings->tolerate_regions > 0) {
        return 0;
    }
    return 2 * (size_t)settings->tolerate_instances + 1;
}

/* Derives the id of an initial replica from its address, because the other
 * initial replicas must know it in advance. */
static uint64_t
derive_replica_id(struct rp_endpoint address)
{
    static const uint8_t key[crypto_shorthash_KEYBYTES] = "replica-seat-v1";
    char text[RP_ENDPOINT_TEXT_MAX];
    uint8_t digest[crypto_shorthash_BYTES];

    RpEndpoint_Format(address, text);
    crypto_shorthash(digest, (const uint8_t *)text, strlen(text), key);
    return MAX(RpBytes_Get64(digest), 1);
}

static bool
is_initial_replica(const struct control *control)
{
    const struct rp_endpoints *peers = &control->settings.peers;

    for (size_t i = 0; control->settings.bootstrap && i < peers->count; i++) {
        if (RpEndpoint_Equal(peers->item[i], control->settings.listen)) {
            return true;
        }
    }
    return false;
}

/* Returns the id for a new data folder; 0: a random one. */
static uint64_t
choose_replica_id(const struct control *control)
{
    return is_initial_replica(control)
               ? derive_replica_id(control->settings.listen)
               : 0;
}

static gint
compare_member_ids(gconstpointer a, gconstpointer b)
{
    uint64_t left = ((const struct rp_replica_member *)a)->id;
    uint64_t right = ((const struct rp_replica_member *)b)->id;

    return (left > right) - (left < right);
}

/* Creates the initial members. They are sorted by id, so that every initial
 * replica creates the same list whatever the order of the addresses in its
 * settings. The replicas' names are not known yet, so placeholders are
 * used. */
static void
create_initial_members(struct control *control)
{
    const struct rp_endpoints *peers = &control->settings.peers;
    GArray *members = RpSchema_NewList(&rp_replica_member_schema);

    for (size_t i = 0; i < peers->count; i++) {
        struct rp_replica_member member = {
            .id = derive_replica_id(peers->item[i]),
            .ip = peers->item[i].ip,
            .port = peers->item[i].port,
            .voter = 1};
        gchar *name = g_strdup_printf("first-%08x-%u", member.ip, member.port);
        RpName_Set(&member.name, RpStr_FromC(name));
        g_free(name);
        g_array_append_val(members, member);
    }
    g_array_sort(members, compare_member_ids);
    RpControlReplica_CreateGroup(control->replica, members);
    g_array_free(members, TRUE);
}

static void
on_reload(void *user, const void *settings)
{
    struct control *control = user;
    struct control_settings updated = *(
        const struct control_settings *)settings;

    RpDaemon_SetPorts(&updated.peers, updated.control_port);
    control->settings.peers = updated.peers;
    control->settings.zones = updated.zones;
    RpControl_DescribeSettings(&control->daemon, &updated);
    RpControlReplica_SetMinVoters(control->replica, min_voters(&updated));
}

static bool
open_editions(struct control *control)
{
    struct rp_error error;

    if (control->settings.operator_http.port == 0) {
        return true;
    }
    RpError_Init(&error);
    control->editions = RpControlEditions_Open(control, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return control->editions != NULL;
}

static bool
open_replica(struct control *control)
{
    struct rp_error error;

    RpError_Init(&error);
    control->replica = RpControlReplica_Open(
        control->settings.data->str, choose_replica_id(control), RpClock_Now(),
        &replica_ops, control, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return control->replica != NULL;
}

static int
check_data(const struct control_settings *settings)
{
    struct rp_journal_report report;
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpJournal_Check(settings->data->str, &report, &error);
    printf("records=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT
           " torn_bytes=%" G_GUINT64_FORMAT " result=%s\n",
           report.records, report.bytes, report.torn_bytes, RpCode_Name(code));
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return code == RP_OK ? RP_EXIT_OK : RP_EXIT_FAILED;
}

static int
create_system(struct control *control)
{
    const struct rp_replica_member self = {
        .name = control->settings.common.name,
        .ip = control->settings.listen.ip,
        .port = control->settings.listen.port};
    struct rp_error error;

    if (sodium_init() < 0 || !open_replica(control)) {
        return RP_EXIT_FAILED;
    }
    RpError_Init(&error);
    enum rp_code code = RpControlReplica_Create(control->replica, &self,
                                                &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    RpControlReplica_Close(control->replica);
    if (code != RP_OK) {
        return RP_EXIT_FAILED;
    }
    printf("created the first replica; start it now without --create\n");
    return RP_EXIT_OK;
}

static bool
start_role(struct control *control)
{
    if (!open_replica(control)) {
        return false;
    }
    control->registry = RpRegistry_Create();
    RpRegistry_SetCutOff(control->registry, RpClock_Now(), true);
    control->distribution = RpDistribution_Create(
        get_catalog(control), control->registry, RpControl_SendTable, control);
    control->clients = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, g_free);
    control->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, g_free);
    control->links = RpControlLinks_Create(control);
    RpDisconnectPolicy_Init(&control->disconnect_policy, RpClock_Now());
    control->next_quorum_line = RpClock_Now() + RP_QUORUM_LINE_INTERVAL_US;
    g_timeout_add(TICK_MS, on_tick, control);
    RpDistribution_MarkAllChanged(control->distribution, RpClock_Now());
    RpDistribution_SetGatheringUntil(control->distribution,
                                     RpClock_Now() + RP_GATHERING_US);
    RpControlReplica_SetMinVoters(control->replica,
                                  min_voters(&control->settings));
    RpControlReplica_SetCounters(control->replica, &control->daemon.counters);
    if (is_initial_replica(control)) {
        create_initial_members(control);
    }
    update_freshness(control, RpClock_Now());
    return RpControl_Listen(control) && open_editions(control) &&
           RpDaemon_OpenAdmin(&control->daemon, &control->settings.common,
                              &admin_ops, control);
}

int
RpControl_Main(int argc, char **argv)
{
    static struct control control;
    int exit_code;

    if (!RpDaemon_ReadSettings(
            settings_table, G_N_ELEMENTS(settings_table),
            "radishportd control",
            "Stores the configuration on disk, collects announcements and "
            "distributes tables to nodes.\nCreate the first replica of a "
            "system once with --create; others join by themselves.",
            argc, argv, &control.settings, &exit_code)) {
        return exit_code;
    }
    const struct rp_settings_source source = {
        .table = settings_table,
        .count = G_N_ELEMENTS(settings_table),
        .size = sizeof control.settings,
        .argc = argc,
        .argv = argv};
    RpDaemon_SetPorts(&control.settings.peers, control.settings.control_port);
    if (!control.settings.data) {
        if (control.settings.check_data || control.settings.create) {
            fprintf(stderr,
                    "--data: is required with --create and --check-data\n");
            return RP_EXIT_SETTINGS;
        }
        return RpControlRelay_Run(&control.settings, &source);
    }
    if (control.settings.check_data) {
        return check_data(&control.settings);
    }
    if (control.settings.create) {
        return create_system(&control);
    }
    if (!RpDaemon_Start(&control.daemon, RP_ROLE_CONTROL,
                        &control.settings.common, on_stop, &control)) {
        return control.daemon.exit_code;
    }
    RpControl_DescribeSettings(&control.daemon, &control.settings);
    if (!start_role(&control)) {
        return RP_EXIT_FAILED;
    }
    RpDaemon_WatchSettings(&control.daemon, &source, on_reload, &control);
    exit_code = RpDaemon_Run(&control.daemon);
    RpControlEditions_Close(control.editions);
    RpListener_Close(control.listener);
    RpControlReplica_Close(control.replica);
    RpDaemon_Clear(&control.daemon);
    return exit_code;
}
