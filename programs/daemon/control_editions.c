/* Serves the operator's configurations and orders over HTTP. An edition is one
 * version of the whole configuration; an order evacuates or restores a data
 * centre.
 *
 * The leader answers; every other replica redirects to the leader. A write or
 * an order is acknowledged once its log entry is committed, a read once a
 * majority has confirmed that this replica still leads. Each request is
 * answered before its deadline.
 */
#include <sodium.h>

#include "control.h"
#include "rp_clock.h"
#include "rp_referral.h"

/* The operator's client gives up after 1 s and turns to another replica. A
 * request that is not decided shortly before that is answered with "try
 * again". */
#define ANSWER_TIMEOUT_US (900 * RP_US_PER_MS)

/* A request that waits for its log entry or for a majority. */
struct pending_request {
    struct rp_platform_request *request;
    struct control_call call;
    uint64_t term;
    uint64_t index;   /* log index of a write; 0: this is a read */
    uint64_t round;   /* heartbeat round that confirms a read; 0: a write */
    size_t confirmed; /* voters that had confirmed it while this replica led */
    int64_t deadline;
};

struct control_editions {
    struct control *control;
    struct rp_platform *platform;
    GQueue pending; /* of struct pending_request, oldest first */
};

static struct rp_replica *
get_replica(const struct control_editions *editions)
{
    return RpControlReplica_Replica(editions->control->replica);
}

static const struct rp_catalog *
get_catalog(const struct control_editions *editions)
{
    return RpControlReplica_Catalog(editions->control->replica);
}

/* Returns the version of the edition in force here; 0: none. */
static uint64_t
get_version(const struct control_editions *editions)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        get_catalog(editions));

    return edition ? edition->version : 0;
}

/* Returns what this replica believes of the group, as key=value pairs. Free
 * them with g_free. */
static gchar *
describe_replica(const struct control_editions *editions)
{
    const struct rp_replica *replica = get_replica(editions);
    const struct rp_replica_member *leader = RpReplica_Leader(replica);

    return g_strdup_printf(
        "role=%s leader=%s term=%" G_GUINT64_FORMAT " fresh=%d",
        RpReplica_RoleName(replica),
        RpControl_MemberName(editions->control, leader),
        RpReplica_Term(replica), RpReplica_IsFresh(replica, RpClock_Now()));
}

/* Logs the answer to a call. `more` is empty, or further pairs that begin with
 * a space. */
static void
log_answer(const struct control_editions *editions,
           const struct control_call *call, const char *result,
           const char *more)
{
    gchar *replica = describe_replica(editions);
    gchar *pairs = g_strconcat(replica, more, NULL);

    RpControlCall_LogAnswer(
        &editions->control->daemon, call,
        call->is_write ? call->version : get_version(editions), result, pairs);
    g_free(pairs);
    g_free(replica);
}

/* Redirects a request that this replica cannot answer to the leader, or
 * rejects it if no other leader is known to be alive. */
static void
redirect_to_leader(struct control_editions *editions,
                   struct rp_platform_request *request,
                   const struct control_call *call)
{
    const struct rp_replica_member *leader = RpReplica_LiveLeader(
        get_replica(editions), RpClock_Now());
    struct rp_counters *counters = &editions->control->daemon.counters;
    struct rp_referral_view view = {
        .self_ip = editions->control->settings.listen.ip,
        .connected = leader != NULL,
        .leader_known = RP_LEADER_NONE};

    if (leader) {
        view.leader_known = RP_LEADER_KNOWN;
        view.leader = (struct rp_endpoint){leader->ip, leader->port};
    }
    struct rp_referral referral = RpReferral_Choose(&view);
    if (referral.ip != 0) {
        char text[RP_ENDPOINT_TEXT_MAX];
        gchar *to = g_strdup_printf(
            " to=%s",
            RpEndpoint_Format(RpPlatform_RedirectTarget(request, referral.ip),
                              text));
        RpCounters_Add(counters, RP_COUNT_EDITION_REDIRECTED);
        log_answer(editions, call, "redirected", to);
        g_free(to);
        RpPlatform_Redirect(request, referral.ip);
        return;
    }
    RpCounters_Add(counters, RP_COUNT_CHANGE_NO_LEADER);
    log_answer(editions, call, "no_leader", "");
    RpPlatform_Answer(request, RP_ERR_NO_LEADER, NULL);
}

static struct pending_request *
add_pending(struct control_editions *editions,
            struct rp_platform_request *request,
            const struct control_call *call)
{
    struct pending_request *waiting = g_new0(struct pending_request, 1);

    waiting->request = request;
    waiting->call = *call;
    waiting->term = RpReplica_Term(get_replica(editions));
    waiting->deadline = RpClock_Now() + ANSWER_TIMEOUT_US;
    g_queue_push_tail(&editions->pending, waiting);
    return waiting;
}

/* Proposes a command and frees it; the request is answered once it is
 * applied. */
static void
propose(struct control_editions *editions, struct rp_platform_request *request,
        const struct control_call *call, GString *command)
{
    struct rp_control_replica *replica = editions->control->replica;
    uint64_t index;
    uint64_t term;

    if (RpControlReplica_Propose(replica, RpClock_Now(), command, &index,
                                 &term) == RP_OK) {
        add_pending(editions, request, call)->index = index;
        RpControlReplica_RunActions(replica);
    }
    else {
        redirect_to_leader(editions, request, call);
    }
    g_string_free(command, TRUE);
}

static void
on_edition_submitted(void *user, const struct rp_edition *edition,
                     struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    struct control *control = editions->control;
    const struct rp_edition *current = RpCatalog_Edition(
        get_catalog(editions));
    const struct control_call call = RpControlCall_Begin(
        true, edition->version, RpPlatform_Sender(request));

    RpLog_Event(control->daemon.log, RP_LOG_INFO, "edition_received",
                "version=%" G_GUINT64_FORMAT " have=%" G_GUINT64_FORMAT
                " addresses=%u role=%s",
                edition->version, current ? current->version : 0,
                edition->vips->len, RpReplica_RoleName(get_replica(editions)));
    if (edition->ignored_values > 0) {
        RpLog_Event(control->daemon.log, RP_LOG_WARN, "edition_values_ignored",
                    "version=%" G_GUINT64_FORMAT " values=%u",
                    edition->version, edition->ignored_values);
    }
    if (RpReplica_Role(get_replica(editions)) != RP_REPLICA_LEADER) {
        redirect_to_leader(editions, request, &call);
        return;
    }
    if (current && edition->version <= current->version) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_CHANGE_REPEATED);
        log_answer(editions, &call, "ok", " repeated=1");
        RpPlatform_Answer(request, RP_OK, NULL);
        return;
    }
    propose(editions, request, &call, RpCatalog_EncodeEdition(edition));
}

/* Refuses an order with the findings of `error`, or asks for another try. */
static void
refuse_order(struct control_editions *editions,
             struct rp_platform_request *request,
             const struct control_call *call, enum rp_code code,
             const struct rp_error *error)
{
    RpCounters_Add(&editions->control->daemon.counters,
                   code == RP_ERR_NOT_FOUND ? RP_COUNT_ZONE_UNKNOWN
                                            : RP_COUNT_CHANGE_NO_LEADER);
    log_answer(editions, call, RpCode_Name(code), "");
    RpPlatform_Answer(request, code, error);
}

/* An order always goes through the log, also if it seems to change nothing: a
 * replica that does not lead any more does not know the newest state. */
static void
on_zone_ordered(void *user, const struct rp_name *zone, bool evacuate,
                struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    const struct control_call call = RpControlCall_BeginOrder(
        zone, evacuate, RpPlatform_Sender(request));
    struct rp_msg_change change = {.kind = evacuate ? RP_CHANGE_EVACUATE
                                                    : RP_CHANGE_RESTORE,
                                   .zone = *zone};
    struct rp_error error;

    RpLog_Event(editions->control->daemon.log, RP_LOG_INFO,
                evacuate ? "evacuation_requested" : "restoration_requested",
                "zone=%s role=%s", zone->data,
                RpReplica_RoleName(get_replica(editions)));
    if (RpReplica_Role(get_replica(editions)) != RP_REPLICA_LEADER) {
        redirect_to_leader(editions, request, &call);
        return;
    }
    RpError_Init(&error);
    enum rp_code code = RpControlZones_Check(editions->control, zone, &error);
    if (code == RP_OK) {
        randombytes_buf(change.id, sizeof change.id);
        propose(editions, request, &call, RpCatalog_EncodeChange(&change));
    }
    else {
        refuse_order(editions, request, &call, code, &error);
    }
    RpError_Clear(&error);
}

static void
on_edition_requested(void *user, struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    struct control *control = editions->control;
    const struct control_call call = RpControlCall_Begin(
        false, 0, RpPlatform_Sender(request));
    uint64_t round = RpReplica_StartRead(get_replica(editions), RpClock_Now());

    if (round == 0) {
        redirect_to_leader(editions, request, &call);
        return;
    }
    add_pending(editions, request, &call)->round = round;
    RpControlReplica_RunActions(control->replica);
    RpControlEditions_AnswerPending(editions, RpClock_Now());
}

static void
on_unreadable(void *user, const char *message, struct rp_endpoint sender,
              const struct rp_error *error)
{
    struct control_editions *editions = user;
    gchar *replica = describe_replica(editions);

    RpControlCall_RefuseUnreadable(&editions->control->daemon, message, sender,
                                   error, replica);
    g_free(replica);
}

static void
answer_read(struct control_editions *editions,
            const struct pending_request *waiting)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        get_catalog(editions));

    struct rp_counters *counters = &editions->control->daemon.counters;

    if (edition) {
        RpCounters_Add(counters, RP_COUNT_EDITION_READ);
        log_answer(editions, &waiting->call, "ok", "");
        RpPlatform_AnswerContent(waiting->request, edition->content);
    }
    else {
        RpCounters_Add(counters, RP_COUNT_EDITION_NONE);
        log_answer(editions, &waiting->call, "no_edition", "");
        RpPlatform_Answer(waiting->request, RP_ERR_NO_LEADER, NULL);
    }
}

/* Records how many voters have confirmed a request so far. */
static void
count_confirmed(const struct control_editions *editions,
                struct pending_request *waiting)
{
    const struct rp_replica *replica = get_replica(editions);

    if (RpReplica_Role(replica) == RP_REPLICA_LEADER &&
        RpReplica_Term(replica) == waiting->term) {
        waiting->confirmed =
            waiting->round ? RpReplica_CountAnswered(replica, waiting->round)
                           : RpReplica_CountStored(replica, waiting->index);
    }
}

/* Answers a request whose outcome is unknown. */
static void
give_up(struct control_editions *editions,
        const struct pending_request *waiting)
{
    const struct rp_replica *replica = get_replica(editions);
    struct rp_counters *counters = &editions->control->daemon.counters;
    bool leads = RpReplica_Role(replica) == RP_REPLICA_LEADER &&
                 RpReplica_Term(replica) == waiting->term;
    gchar *more = g_strdup_printf(
        " confirmed=%zu quorum=%zu voters=%zu", waiting->confirmed,
        RpReplica_Quorum(replica), RpReplica_VoterCount(replica));

    RpCounters_Add(counters, RP_COUNT_CHANGE_TIMEOUT);
    RpCounters_Add(counters, leads ? RP_COUNT_EDITION_TIMEOUT
                                   : RP_COUNT_EDITION_LEAD_LOST);
    log_answer(editions, &waiting->call, leads ? "timeout" : "lead_lost",
               more);
    g_free(more);
    RpPlatform_Answer(waiting->request, RP_ERR_TIMEOUT, NULL);
}

/* Answers a request if it can be answered now or has failed. Returns whether
 * it was answered. */
static bool
answer_if_decided(struct control_editions *editions,
                  struct pending_request *waiting, int64_t now)
{
    const struct rp_replica *replica = get_replica(editions);

    count_confirmed(editions, waiting);
    if (waiting->round &&
        RpReplica_ReadIsSafe(replica, waiting->term, waiting->round)) {
        answer_read(editions, waiting);
        return true;
    }
    if (now < waiting->deadline && RpReplica_Term(replica) == waiting->term &&
        RpReplica_Role(replica) == RP_REPLICA_LEADER) {
        return false;
    }
    /* The outcome of the request is unknown, so the operator must repeat
     * it. */
    give_up(editions, waiting);
    return true;
}

void
RpControlEditions_AnswerPending(struct control_editions *editions, int64_t now)
{
    GList *link = editions->pending.head;

    while (link) {
        GList *next = link->next;
        if (answer_if_decided(editions, link->data, now)) {
            g_free(link->data);
            g_queue_delete_link(&editions->pending, link);
        }
        link = next;
    }
}

void
RpControlEditions_OnApplied(struct control_editions *editions,
                            const struct rp_log_entry *entry,
                            const struct rp_msg_change_reply *reply)
{
    for (GList *link = editions->pending.head; link; link = link->next) {
        struct pending_request *waiting = link->data;
        if (waiting->index != entry->index) {
            continue;
        }
        RpCounters_AddDuration(
            &editions->control->daemon.counters, RP_HISTOGRAM_CHANGE_DECIDED,
            RpClock_Now() - (waiting->deadline - ANSWER_TIMEOUT_US));
        enum rp_code code = waiting->term == entry->term
                                ? (enum rp_code)reply->code
                                : RP_ERR_TIMEOUT;
        bool is_own = waiting->term == entry->term;
        if (!is_own) {
            RpCounters_Add(&editions->control->daemon.counters,
                           RP_COUNT_EDITION_LEAD_LOST);
        }
        log_answer(editions, &waiting->call,
                   is_own ? RpCode_Name(code) : "lead_lost",
                   reply->repeated    ? " repeated=1"
                   : reply->unchanged ? " unchanged=1"
                                      : "");
        RpPlatform_Answer(waiting->request, code, NULL);
        g_queue_delete_link(&editions->pending, link);
        g_free(waiting);
        return;
    }
}

struct control_editions *
RpControlEditions_Open(struct control *control, struct rp_error *error)
{
    static const struct rp_platform_ops ops = {
        .edition_submitted = on_edition_submitted,
        .edition_requested = on_edition_requested,
        .zone_ordered = on_zone_ordered,
        .unreadable = on_unreadable};
    struct control_editions *editions = g_new0(struct control_editions, 1);

    editions->control = control;
    g_queue_init(&editions->pending);
    editions->platform = RpPlatform_Open(
        control->settings.operator_http,
        RpControl_EditionMax(&control->settings), &control->daemon.net, &ops,
        editions, error);
    if (!editions->platform) {
        g_free(editions);
        return NULL;
    }
    return editions;
}

void
RpControlEditions_Close(struct control_editions *editions)
{
    if (editions) {
        RpPlatform_Close(editions->platform);
        for (GList *link = editions->pending.head; link; link = link->next) {
            const struct pending_request *waiting = link->data;
            log_answer(editions, &waiting->call, "stopped", "");
        }
        g_queue_clear_full(&editions->pending, g_free);
        g_free(editions);
    }
}
