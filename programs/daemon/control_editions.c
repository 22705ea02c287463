/* Serves the operator's configurations over HTTP. An edition is one version of
 * the whole configuration.
 *
 * The leader answers; every other replica redirects to the leader. A write is
 * acknowledged once its log entry is committed, a read once a majority has
 * confirmed that this replica still leads. Each request is answered before its
 * deadline.
 */
#include "control.h"
#include "rp_clock.h"

/* The operator's client gives up after 1 s and turns to another replica. A
 * request that is not decided shortly before that is answered with "try
 * again". */
#define ANSWER_TIMEOUT_US (900 * RP_US_PER_MS)

/* A request that waits for its log entry or for a majority. */
struct pending_request {
    struct rp_platform_request *request;
    uint64_t term;
    uint64_t index; /* log index of a write; 0: this is a read */
    uint64_t round; /* heartbeat round that confirms a read; 0: a write */
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

/* Redirects a request that this replica cannot answer to the leader, or
 * rejects it if no other leader is known. */
static void
redirect_to_leader(struct control_editions *editions,
                   struct rp_platform_request *request)
{
    const struct rp_replica *replica = get_replica(editions);
    const struct rp_replica_member *leader = RpReplica_Leader(replica);

    if (leader && leader->id != RpReplica_Id(replica)) {
        RpPlatform_Redirect(request, leader->ip);
        return;
    }
    RpCounters_Add(&editions->control->daemon.counters,
                   RP_COUNT_CHANGE_NO_LEADER);
    RpPlatform_Answer(request, RP_ERR_NO_LEADER, NULL);
}

static struct pending_request *
add_pending(struct control_editions *editions,
            struct rp_platform_request *request)
{
    struct pending_request *waiting = g_new0(struct pending_request, 1);

    waiting->request = request;
    waiting->term = RpReplica_Term(get_replica(editions));
    waiting->deadline = RpClock_Now() + ANSWER_TIMEOUT_US;
    g_queue_push_tail(&editions->pending, waiting);
    return waiting;
}

static void
on_edition_submitted(void *user, const struct rp_edition *edition,
                     struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    struct control *control = editions->control;
    const struct rp_edition *current = RpCatalog_Edition(
        get_catalog(editions));
    uint64_t index;
    uint64_t term;

    RpLog_Event(control->daemon.log, RP_LOG_INFO, "edition_received",
                "version=%" G_GUINT64_FORMAT " have=%" G_GUINT64_FORMAT
                " addresses=%u role=%s",
                edition->version, current ? current->version : 0,
                edition->vips->len, RpReplica_RoleName(get_replica(editions)));
    if (RpReplica_Role(get_replica(editions)) != RP_REPLICA_LEADER) {
        redirect_to_leader(editions, request);
        return;
    }
    if (current && edition->version <= current->version) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_CHANGE_REPEATED);
        RpPlatform_Answer(request, RP_OK, NULL);
        return;
    }
    GString *command = RpCatalog_EncodeEdition(edition);
    enum rp_code code = RpControlReplica_Propose(
        control->replica, RpClock_Now(), command, &index, &term);
    if (code == RP_OK) {
        add_pending(editions, request)->index = index;
        RpControlReplica_RunActions(control->replica);
    }
    else {
        redirect_to_leader(editions, request);
    }
    g_string_free(command, TRUE);
}

static void
on_edition_requested(void *user, struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    struct control *control = editions->control;
    uint64_t round = RpReplica_StartRead(get_replica(editions), RpClock_Now());

    if (round == 0) {
        redirect_to_leader(editions, request);
        return;
    }
    add_pending(editions, request)->round = round;
    RpControlReplica_RunActions(control->replica);
    RpControlEditions_AnswerPending(editions, RpClock_Now());
}

static void
on_unreadable(void *user, const char *message, const struct rp_error *error)
{
    struct control_editions *editions = user;
    struct rp_daemon *daemon = &editions->control->daemon;
    gchar *pairs = g_strdup_printf("what=%s ", message);

    RpCounters_Add(&daemon->counters, RP_COUNT_CHANGE_BAD_DOCUMENT);
    RpDaemon_LogFindings(daemon, RP_LOG_WARN, "edition_refused", pairs, error);
    g_free(pairs);
}

static void
answer_read(struct control_editions *editions,
            const struct pending_request *waiting)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        get_catalog(editions));

    if (edition) {
        RpPlatform_AnswerContent(waiting->request, edition->content);
    }
    else {
        RpPlatform_Answer(waiting->request, RP_ERR_NO_LEADER, NULL);
    }
}

/* Answers a request if it can be answered now or has failed. Returns whether
 * it was answered. */
static bool
answer_if_decided(struct control_editions *editions,
                  const struct pending_request *waiting, int64_t now)
{
    const struct rp_replica *replica = get_replica(editions);

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
    RpCounters_Add(&editions->control->daemon.counters,
                   RP_COUNT_CHANGE_TIMEOUT);
    RpPlatform_Answer(waiting->request, RP_ERR_TIMEOUT, NULL);
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
        g_queue_clear_full(&editions->pending, g_free);
        g_free(editions);
    }
}
