/* Placement model with one request per flow: a flow is placed when it opens,
 * and its request arrives at the host one round trip later. */
#include <string.h>

#include "heap.h"
#include "model.h"
#include "rp_admission.h"

#define REPORT_PERIOD_US 500000 /* between two load reports of a host */
#define RESERVE_US 100000       /* a slot stays reserved this long */

enum event_kind {
    EV_ARRIVE, /* a caller opens a flow */
    EV_OFFER,  /* its SYN arrives at a candidate */
    EV_DATA,   /* its request arrives at the host */
    EV_DONE,   /* the host finishes its request */
    EV_REPORT  /* hosts report their load */
};

enum policy {
    POLICY_IDEAL,       /* one FIFO queue for all hosts */
    POLICY_IDEAL_SHORT, /* the same, short requests first */
    POLICY_COMMIT,      /* knows all current loads; must place on arrival */
    POLICY_HASH,        /* the first candidate, whatever its load */
    POLICY_REPORT1,     /* the least loaded host by the last reports */
    POLICY_REPORT2,     /* the less loaded of two by the last reports */
    POLICY_BOUND2,      /* bounded load, 2 candidates */
    POLICY_BOUND3,
    POLICY_ADAPT3, /* bounded by the host's own mean load */
    POLICY_LEAST2, /* the least loaded of 2 candidates */
    POLICY_LEAST3,
    POLICY_LEAST5,
    POLICY_LEAST_ALL,
    POLICY_LEAST_ALL_LATE, /* counts a slot only once the request arrives */
    POLICY_ASK_ALL,        /* asks every candidate first, for one round trip */
    POLICY_COUNT
};

const char *const flow_policies[] = {
    "ideal",      "ideal-short-first", "ideal-commit", "hash",
    "report-1",   "report-2",          "bound-2",      "bound-3",
    "adaptive-3", "least-2",           "least-3",      "least-5",
    "least-all",  "least-all-late",    "ask-all",      NULL};

struct request {
    int64_t arrived; /* time of the SYN */
    int64_t data;    /* time at which the request arrives at the host */
    int64_t service; /* service time on a host of normal speed */
    int64_t hops;    /* total delay between candidates */
    bool is_long;
    uint32_t host;
    uint32_t chain[MAX_HOSTS]; /* candidates in order */
    uint32_t position;         /* of the current candidate in `chain` */
    uint32_t best;             /* the least loaded host that passed it on */
    uint8_t lowest_utilisation;
    bool forced; /* sent back to `best`, which must admit it */
};

struct host {
    GQueue queue; /* of request indexes */
    uint32_t serving;
    uint32_t counted;  /* the agent's count: reserved, queued, in service */
    uint32_t reported; /* `counted` at the last report */
    double mean;       /* moving average of `counted` */
};

struct model {
    const struct scenario *scenario;
    enum policy policy;
    struct heap heap;
    GRand *rng;
    GArray *requests; /* of struct request */
    struct host hosts[MAX_HOSTS];
    GQueue shared_short; /* queues of the ideal policies */
    GQueue shared_long;
    struct balance balance;
    struct outcome *outcome;
    struct rp_admission *admission;
};

static struct request *
get_request(struct model *model, uint32_t number)
{
    return &g_array_index(model->requests, struct request, number);
}

/* The number of candidates that the policy asks. */
static uint32_t
chain_length(const struct model *model)
{
    uint32_t wanted;

    switch (model->policy) {
    case POLICY_BOUND2:
    case POLICY_LEAST2:
        wanted = 2;
        break;
    case POLICY_BOUND3:
    case POLICY_ADAPT3:
    case POLICY_LEAST3:
        wanted = 3;
        break;
    case POLICY_LEAST5:
        wanted = 5;
        break;
    default:
        wanted = model->scenario->hosts;
    }
    return MIN(wanted, model->scenario->hosts);
}

static void
shuffle_chain(struct model *model, struct request *request)
{
    uint32_t hosts = model->scenario->hosts;

    for (uint32_t i = 0; i < hosts; i++) {
        request->chain[i] = i;
    }
    for (uint32_t i = hosts - 1; i > 0; i--) {
        uint32_t j = (uint32_t)g_rand_int_range(model->rng, 0, (gint32)i + 1);
        uint32_t swap = request->chain[i];
        request->chain[i] = request->chain[j];
        request->chain[j] = swap;
    }
}

static void
set_busy(struct model *model, uint32_t number, uint32_t serving, int64_t now)
{
    model->hosts[number].serving = serving;
    balance_record(&model->balance, model->scenario, now, number, serving);
}

static void
start_service(struct model *model, uint32_t number, uint32_t host, int64_t now)
{
    struct request *request = get_request(model, number);
    int64_t service = scale_service_time(model->scenario, host,
                                         request->service, now);

    request->host = host;
    set_busy(model, host, model->hosts[host].serving + 1, now);
    record_wait(model->outcome, request->arrived,
                now - request->data + request->hops, request->is_long);
    heap_push(&model->heap, now + service, EV_DONE, number, host);
}

static bool
is_ideal(const struct model *model)
{
    return model->policy == POLICY_IDEAL ||
           model->policy == POLICY_IDEAL_SHORT;
}

/* Returns the host with the most free slots; -1 if all slots are busy. */
static int
find_freest_host(const struct model *model)
{
    int best = -1;

    for (uint32_t i = 0; i < model->scenario->hosts; i++) {
        if (model->hosts[i].serving < model->scenario->slots &&
            (best < 0 ||
             model->hosts[i].serving < model->hosts[best].serving)) {
            best = (int)i;
        }
    }
    return best;
}

static void
start_from_shared_queue(struct model *model, int64_t now)
{
    int host;

    while ((host = find_freest_host(model)) >= 0) {
        GQueue *queue = model->shared_short.length ? &model->shared_short
                                                   : &model->shared_long;
        if (queue->length == 0) {
            return;
        }
        start_service(model, GPOINTER_TO_UINT(g_queue_pop_head(queue)),
                      (uint32_t)host, now);
    }
}

static void
start_from_host_queue(struct model *model, uint32_t host, int64_t now)
{
    struct host *self = &model->hosts[host];

    while (self->serving < model->scenario->slots && self->queue.length) {
        start_service(model, GPOINTER_TO_UINT(g_queue_pop_head(&self->queue)),
                      host, now);
    }
}

/* The host admits the flow; its request arrives one round trip later. */
static void
admit_flow(struct model *model, uint32_t number, uint32_t host, int64_t now)
{
    struct request *request = get_request(model, number);

    request->host = host;
    request->data = now + model->scenario->round_trip_us;
    if (model->policy != POLICY_LEAST_ALL_LATE) {
        model->hosts[host].counted++;
    }
    heap_push(&model->heap, request->data, EV_DATA, number, host);
}

/* Returns the host with the lowest reported load among the first `choices`
 * candidates. */
static uint32_t
find_least_reported(const struct model *model, const struct request *request,
                    uint32_t choices)
{
    uint32_t best = request->chain[0];

    for (uint32_t i = 1; i < choices; i++) {
        uint32_t other = request->chain[i];
        if (model->hosts[other].reported < model->hosts[best].reported) {
            best = other;
        }
    }
    return best;
}

/* Returns the host with the lowest current load among all candidates. */
static uint32_t
find_least_counted(const struct model *model, const struct request *request)
{
    uint32_t best = request->chain[0];

    for (uint32_t i = 1; i < model->scenario->hosts; i++) {
        uint32_t other = request->chain[i];
        if (model->hosts[other].counted < model->hosts[best].counted) {
            best = other;
        }
    }
    return best;
}

/* The decision of POLICY_ADAPT3, which exists only in this model. */
static enum rp_decision
decide_adaptively(struct model *model, uint32_t host,
                  const struct rp_load *load)
{
    struct host *self = &model->hosts[host];
    double bound = MAX((double)load->slots, self->mean * 1.1);

    self->mean += (load->busy - self->mean) * 0.02;
    return load->busy < bound || load->last ? RP_DECISION_ADMIT
                                            : RP_DECISION_PASS_ON;
}

/* The candidate at `position` decides on a flow: it admits the flow, passes it
 * to the next candidate, or sends it back to the least loaded one. */
static void
offer_flow(struct model *model, uint32_t number, int64_t now)
{
    struct request *request = get_request(model, number);
    uint32_t host = request->chain[request->position];
    uint32_t length = chain_length(model);
    const struct rp_load load = {
        .slots = model->scenario->slots,
        .busy = model->hosts[host].counted,
        .flow_limit = UINT32_MAX,
        .position = request->position,
        .lowest_utilisation = request->lowest_utilisation,
        .last = request->position + 1 == length};
    enum rp_counter reason;
    enum rp_decision verdict = RP_DECISION_ADMIT;
    uint32_t next;

    if (model->policy == POLICY_ADAPT3) {
        verdict = decide_adaptively(model, host, &load);
    }
    else if (!request->forced) {
        verdict = RpAdmission_Decide(model->admission, &load, &reason);
    }
    if (verdict == RP_DECISION_ADMIT) {
        admit_flow(model, number, host, now);
        return;
    }
    if (verdict == RP_DECISION_PASS_BACK) {
        next = request->best;
        request->forced = true;
        request->position = 0;
        while (request->chain[request->position] != next) {
            request->position++;
        }
    }
    else {
        uint8_t share = RpLoad_Utilisation(&load);
        if (share < request->lowest_utilisation) {
            request->lowest_utilisation = share;
            request->best = host;
        }
        next = request->chain[++request->position];
    }
    int64_t hop = hop_delay(model->scenario, host, next);
    request->hops += hop;
    model->outcome->passed_on++;
    heap_push(&model->heap, now + hop, EV_OFFER, number, 0);
}

static void
place_request(struct model *model, uint32_t number, int64_t now)
{
    struct request *request = get_request(model, number);

    switch (model->policy) {
    case POLICY_IDEAL:
        request->data = now;
        g_queue_push_tail(&model->shared_short, GUINT_TO_POINTER(number));
        start_from_shared_queue(model, now);
        break;
    case POLICY_IDEAL_SHORT:
        request->data = now;
        g_queue_push_tail(request->is_long ? &model->shared_long
                                           : &model->shared_short,
                          GUINT_TO_POINTER(number));
        start_from_shared_queue(model, now);
        break;
    case POLICY_COMMIT:
        request->host = find_least_counted(model, request);
        request->data = now;
        model->hosts[request->host].counted++;
        heap_push(&model->heap, now, EV_DATA, number, request->host);
        break;
    case POLICY_HASH:
        admit_flow(model, number, request->chain[0], now);
        break;
    case POLICY_REPORT1:
        admit_flow(model, number,
                   find_least_reported(model, request, model->scenario->hosts),
                   now);
        break;
    case POLICY_REPORT2:
        admit_flow(model, number, find_least_reported(model, request, 2), now);
        break;
    case POLICY_ASK_ALL:
        request->hops = 2 * model->scenario->zone_hop_us;
        admit_flow(model, number, find_least_counted(model, request), now);
        break;
    default:
        offer_flow(model, number, now);
    }
}

static void
handle_arrival(struct model *model, int64_t now)
{
    struct request request = {.arrived = now,
                              .lowest_utilisation = RP_UTILISATION_MAX};
    int64_t next = next_arrival(model->scenario, model->rng, now);

    request.is_long = g_rand_double(model->rng) < model->scenario->long_share;
    request.service = draw_service(model->scenario, model->rng,
                                   request.is_long);
    shuffle_chain(model, &request);
    g_array_append_val(model->requests, request);
    if (next < RUN_US) {
        heap_push(&model->heap, next, EV_ARRIVE, 0, 0);
    }
    place_request(model, model->requests->len - 1, now);
}

static void
finish_service(struct model *model, uint32_t host, int64_t now)
{
    set_busy(model, host, model->hosts[host].serving - 1, now);
    if (is_ideal(model)) {
        start_from_shared_queue(model, now);
        return;
    }
    model->hosts[host].counted--;
    start_from_host_queue(model, host, now);
}

static void
report_loads(struct model *model, int64_t now)
{
    for (uint32_t i = 0; i < model->scenario->hosts; i++) {
        model->hosts[i].reported = model->hosts[i].counted;
    }
    if (model->scenario->reports_zero_load) {
        model->hosts[0].reported = 0;
    }
    if (now < RUN_US) {
        heap_push(&model->heap, now + REPORT_PERIOD_US, EV_REPORT, 0, 0);
    }
}

static void
handle_event(struct model *model, const struct event *event)
{
    struct host *host = &model->hosts[event->detail];

    switch ((enum event_kind)event->kind) {
    case EV_ARRIVE:
        handle_arrival(model, event->time);
        break;
    case EV_OFFER:
        offer_flow(model, event->subject, event->time);
        break;
    case EV_DATA:
        if (model->policy == POLICY_LEAST_ALL_LATE) {
            host->counted++;
        }
        g_queue_push_tail(&host->queue, GUINT_TO_POINTER(event->subject));
        start_from_host_queue(model, event->detail, event->time);
        break;
    case EV_DONE:
        finish_service(model, event->detail, event->time);
        break;
    case EV_REPORT:
        report_loads(model, event->time);
        break;
    }
}

void
run_flow_model(const struct scenario *scenario, size_t policy, uint32_t seed,
               struct outcome *outcome)
{
    struct model model = {
        .scenario = scenario,
        .policy = (enum policy)policy,
        .rng = g_rand_new_with_seed(seed),
        .requests = g_array_new(FALSE, FALSE, sizeof(struct request)),
        .outcome = outcome};
    struct event event;

    model.admission = policy == POLICY_BOUND2 || policy == POLICY_BOUND3
                          ? RpAdmission_CreateFreeSlot()
                          : RpAdmission_CreateLeastBusy();
    heap_push(&model.heap, 0, EV_REPORT, 0, 0);
    heap_push(&model.heap, 1, EV_ARRIVE, 0, 0);
    while (heap_pop(&model.heap, &event)) {
        handle_event(&model, &event);
    }
    outcome->imbalance = balance_result(&model.balance);
    RpAdmission_Free(model.admission);
    heap_clear(&model.heap);
    g_array_free(model.requests, TRUE);
    g_rand_free(model.rng);
}
