/* HTTP client that checks every byte of its answers: it POSTs random bodies to
 * the /echo of a service over several connections at once, with several
 * requests on each, and compares each answer with its request.
 *
 * Prints "client: half" when half of the answers are in, and at the end
 * "client: requests=N answered=N broken=N misdirected=N". */
#include <gio/gio.h>
#include <string.h>

#include "rp_time.h"
#include "standin.h"

#define REQUEST_TIMEOUT_US (30 * RP_US_PER_SECOND)
#define TICK_MS 100

struct client_settings {
    struct rp_endpoints targets;
    GString *services; /* comma-separated names, one for each target */
    uint32_t requests; /* for each target */
    uint32_t connections;
    uint32_t per_connection;
    uint32_t body_bytes;
    uint32_t pause_ms;
    uint32_t server_ms; /* response time that the server is asked for */
    uint32_t seed;
    GString *reading_prefix;
};

static struct client_settings settings;

static const struct rp_setting settings_table[] = {
    {.flag = "targets",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct client_settings, targets),
     .value = "ADDR:PORT,…",
     .help = "addresses to connect to"},
    {.flag = "services",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct client_settings, services),
     .value = "NAME,…",
     .help = "the service behind each target"},
    {.flag = "requests",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, requests),
     .value = "N",
     .help = "requests to each target",
     .fallback = "1000",
     .max = 100000000},
    {.flag = "connections",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, connections),
     .value = "N",
     .help = "connections to each target at once",
     .fallback = "20",
     .max = 10000},
    {.flag = "per-connection",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, per_connection),
     .value = "N",
     .help = "requests on a connection before it is replaced",
     .fallback = "50",
     .max = 100000000},
    {.flag = "body-bytes",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, body_bytes),
     .value = "N",
     .help = "upper bound of the body size",
     .fallback = "4096",
     .max = 1 << 20},
    {.flag = "pause-ms",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, pause_ms),
     .value = "N",
     .help = "pause between two requests of a connection",
     .fallback = "10",
     .max = 3600000},
    {.flag = "server-ms",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, server_ms),
     .value = "N",
     .help = "response time that the server is asked for",
     .fallback = "0",
     .max = 3600000},
    {.flag = "seed",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct client_settings, seed),
     .value = "N",
     .help = "seed of the random bodies",
     .fallback = "1",
     .max = UINT32_MAX},
    {.flag = "reading-prefix",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct client_settings, reading_prefix),
     .value = "TEXT",
     .help = "prefix of each request's X-Reading header",
     .fallback = "r"},
};

/* One connection and its current request. */
struct worker {
    size_t target;
    const char *service;
    GSocketConnection *stream;
    GCancellable *cancellable;
    GString *body;
    GString *request;
    GString *expected;
    GString *input;
    char chunk[65536];
    uint32_t left_on_connection;
    int64_t deadline;
    bool busy; /* a request is outstanding */
};

static GMainLoop *loop;
static GRand *rng;
static uint32_t left[RP_ENDPOINTS_MAX]; /* requests not yet started */
static uint32_t started;
static uint32_t answered;
static uint32_t broken;
static uint32_t misdirected;
static uint32_t total;
static bool half_reported;
static GPtrArray *workers;

static void start_next_request(struct worker *worker);
static void start_read(struct worker *worker);

static void
drop_connection(struct worker *worker)
{
    if (worker->stream) {
        g_io_stream_close(G_IO_STREAM(worker->stream), NULL, NULL);
        g_clear_object(&worker->stream);
    }
}

static gboolean
on_pause_over(gpointer data)
{
    start_next_request(data);
    return G_SOURCE_REMOVE;
}

static void
finish_request(struct worker *worker)
{
    worker->busy = false;
    if (!half_reported && (answered + broken + misdirected) * 2 >= total) {
        half_reported = true;
        printf("client: half\n");
        fflush(stdout);
    }
    if (answered + broken + misdirected >= total) {
        g_main_loop_quit(loop);
        return;
    }
    g_timeout_add(settings.pause_ms, on_pause_over, worker);
}

static void
fail_request(struct worker *worker, const char *why)
{
    if (!worker->busy) {
        return;
    }
    broken++;
    printf("client: broken service=%s why=\"%s\"\n", worker->service, why);
    drop_connection(worker);
    finish_request(worker);
}

/* Returns whether `input` holds a complete answer, and sets `*body` to the
 * offset of its body. */
static bool
is_complete_answer(const GString *input, size_t *body)
{
    const char *end = strstr(input->str, "\r\n\r\n");
    const char *length = strcasestr(input->str, "content-length:");
    uint64_t len = 0;

    if (!end || !length || length > end) {
        return false;
    }
    struct rp_str rest;
    struct rp_str value = RpStr_FromC(length + sizeof "content-length:" - 1);
    value = RpStr_Trim(RpStr_Split(value, '\r', &rest));
    *body = (size_t)(end - input->str) + 4;
    return RpStr_ToUint(value, UINT32_MAX, &len) && input->len - *body >= len;
}

/* Counts the answer: answered if it has the expected bytes, misdirected if it
 * comes from another service, else broken. */
static void
check_answer(struct worker *worker, size_t body)
{
    const char *answer = worker->input->str + body;
    size_t len = worker->input->len - body;
    size_t name = strlen(worker->service);

    if (len == worker->expected->len &&
        !memcmp(answer, worker->expected->str, len)) {
        answered++;
    }
    else if (len <= name || memcmp(answer, worker->service, name) ||
             answer[name] != '\n') {
        misdirected++;
        printf("client: misdirected service=%s\n", worker->service);
    }
    else {
        broken++;
        printf("client: broken service=%s why=\"wrong bytes\"\n",
               worker->service);
    }
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
    struct worker *worker = data;
    GError *error = NULL;
    size_t body;
    gssize got = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
                                            &error);

    if (got <= 0) {
        fail_request(worker, error ? error->message : "connection closed");
        g_clear_error(&error);
        return;
    }
    g_string_append_len(worker->input, worker->chunk, got);
    if (!is_complete_answer(worker->input, &body)) {
        start_read(worker);
        return;
    }
    check_answer(worker, body);
    if (--worker->left_on_connection == 0) {
        drop_connection(worker);
    }
    finish_request(worker);
}

static void
start_read(struct worker *worker)
{
    g_input_stream_read_async(
        g_io_stream_get_input_stream(G_IO_STREAM(worker->stream)),
        worker->chunk, sizeof worker->chunk, G_PRIORITY_DEFAULT,
        worker->cancellable, on_read, worker);
}

static void
on_written(GObject *source, GAsyncResult *result, gpointer data)
{
    struct worker *worker = data;
    GError *error = NULL;

    if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result,
                                          NULL, &error)) {
        fail_request(worker, error->message);
        g_error_free(error);
        return;
    }
    start_read(worker);
}

static void
send_request(struct worker *worker)
{
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(worker->stream)),
        worker->request->str, worker->request->len, G_PRIORITY_DEFAULT,
        worker->cancellable, on_written, worker);
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
    struct worker *worker = data;
    GError *error = NULL;

    worker->stream = g_socket_client_connect_finish(G_SOCKET_CLIENT(source),
                                                    result, &error);
    if (!worker->stream) {
        fail_request(worker, error->message);
        g_error_free(error);
        return;
    }
    g_tcp_connection_set_graceful_disconnect(G_TCP_CONNECTION(worker->stream),
                                             FALSE);
    worker->left_on_connection = settings.per_connection;
    send_request(worker);
}

static void
open_connection(struct worker *worker)
{
    struct rp_endpoint to = settings.targets.item[worker->target];
    char ip[RP_ENDPOINT_TEXT_MAX];
    GSocketClient *client = g_socket_client_new();
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        RpIp_Format(to.ip, ip), to.port);

    g_socket_client_set_enable_proxy(client, FALSE);
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
                                  worker->cancellable, on_connected, worker);
    g_object_unref(address);
    g_object_unref(client);
}

static void
prepare_request(struct worker *worker)
{
    uint32_t len = (uint32_t)g_rand_int_range(rng, 1,
                                              (gint32)settings.body_bytes);

    g_string_truncate(worker->body, 0);
    for (uint32_t i = 0; i < len; i++) {
        g_string_append_c(worker->body, (gchar)g_rand_int_range(rng, 0, 256));
    }
    g_string_printf(worker->request,
                    "POST /echo%s%.0u HTTP/1.1\r\nHost: service\r\n"
                    "X-Reading: %s-%u\r\nContent-Length: %u\r\n\r\n",
                    settings.server_ms ? "?ms=" : "", settings.server_ms,
                    settings.reading_prefix->str, started, len);
    g_string_append_len(worker->request, worker->body->str, len);
    g_string_printf(worker->expected, "%s\n", worker->service);
    for (uint32_t i = len; i-- > 0;) {
        g_string_append_c(worker->expected, worker->body->str[i]);
    }
    g_string_truncate(worker->input, 0);
}

static void
start_next_request(struct worker *worker)
{
    if (left[worker->target] == 0) {
        drop_connection(worker);
        return;
    }
    left[worker->target]--;
    started++;
    worker->busy = true;
    worker->deadline = g_get_monotonic_time() + REQUEST_TIMEOUT_US;
    prepare_request(worker);
    if (worker->stream) {
        send_request(worker);
    }
    else {
        open_connection(worker);
    }
}

/* Cancels requests that had no answer within REQUEST_TIMEOUT_US. */
static gboolean
on_tick(gpointer data)
{
    int64_t now = g_get_monotonic_time();

    (void)data;
    for (guint i = 0; i < workers->len; i++) {
        struct worker *worker = g_ptr_array_index(workers, i);
        if (worker->busy && now >= worker->deadline) {
            g_cancellable_cancel(worker->cancellable);
            g_object_unref(worker->cancellable);
            worker->cancellable = g_cancellable_new();
        }
    }
    return G_SOURCE_CONTINUE;
}

static void
start_workers(gchar **services)
{
    workers = g_ptr_array_new();
    for (size_t i = 0; i < settings.targets.count; i++) {
        left[i] = settings.requests;
        total += settings.requests;
        for (uint32_t j = 0; j < settings.connections; j++) {
            struct worker *worker = g_new0(struct worker, 1);
            worker->target = i;
            worker->service = services[i];
            worker->cancellable = g_cancellable_new();
            worker->body = g_string_new(NULL);
            worker->request = g_string_new(NULL);
            worker->expected = g_string_new(NULL);
            worker->input = g_string_new(NULL);
            g_ptr_array_add(workers, worker);
            g_timeout_add(
                (guint)g_rand_int_range(rng, 0, (gint32)settings.pause_ms + 1),
                on_pause_over, worker);
        }
    }
}

int
main(int argc, char **argv)
{
    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-client", argc, argv, &settings);
    gchar **services = g_strsplit(settings.services->str, ",", -1);
    if (g_strv_length(services) != settings.targets.count) {
        fprintf(stderr, "--services: %u names for %zu targets\n",
                g_strv_length(services), settings.targets.count);
        g_strfreev(services);
        return 2;
    }
    rng = g_rand_new_with_seed(settings.seed);
    loop = g_main_loop_new(NULL, FALSE);
    start_workers(services);
    g_timeout_add(TICK_MS, on_tick, NULL);
    g_main_loop_run(loop);
    printf("client: requests=%u answered=%u broken=%u misdirected=%u\n",
           started, answered, broken, misdirected);
    g_strfreev(services);
    return broken + misdirected ? 1 : 0;
}
