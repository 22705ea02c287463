/* Shared code of the commands: settings, requests to control instances and
 * JSON output. */
#include "cli.h"

#include <sodium.h>
#include <stdlib.h>
#include <unistd.h>

#include "rp_keyfile.h"

#define RETRY_PAUSE_MS 100
/* A control instance that does not answer within this time may be frozen, so
 * the next one is asked. Changes carry an id, so repeating one is safe. */
#define ATTEMPT_TIMEOUT_MS 1000

/* A request that goes to one control instance after the other until one of
 * them answers. */
struct exchange {
    const struct rp_msg *request;
    enum rp_msg_type wanted;
    struct rp_msg *answer;
    GMainLoop *loop;
    bool answered;
    bool timed_out;
    bool unknown_request; /* an instance has answered something else */
};

static void
print_errors(const struct rp_error *error)
{
    GString *text = g_string_new(NULL);

    RpError_Format(error, text);
    fwrite(text->str, 1, text->len, stderr);
    g_string_free(text, TRUE);
}

bool
RpCli_ReadSettings(const struct rp_setting *settings, size_t count,
                   const char *program, const char *usage, int argc,
                   char **argv, void *target, int *exit_code)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_settings_result result = RpSettings_Read(
        settings, count, program, usage, argc, argv, target, &error);
    print_errors(&error);
    RpError_Clear(&error);
    *exit_code = result == RP_SETTINGS_BAD ? RP_CLI_USAGE : RP_CLI_OK;
    return result == RP_SETTINGS_READY;
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    const struct exchange *exchange = user;

    (void)hello;
    RpConn_Send(conn, exchange->request);
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    struct exchange *exchange = user;
    /* Only the leader decides changes and returns documents. The other
     * instances answer NO_LEADER, and the next one is asked. */
    bool not_leader = (msg->type == RP_MSG_CHANGE_REPLY &&
                       msg->change_reply.code == RP_ERR_NO_LEADER) ||
                      (msg->type == RP_MSG_DOCUMENT &&
                       msg->document.code == RP_ERR_NO_LEADER);

    if (msg->type == exchange->wanted && !not_leader && !exchange->answered) {
        *exchange->answer = *msg;
        msg->type = RP_MSG_NONE;
        exchange->answered = true;
    }
    exchange->unknown_request |= msg->type != RP_MSG_NONE &&
                                 msg->type != exchange->wanted;
    RpConn_Close(conn);
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct exchange *exchange = user;

    (void)conn;
    g_main_loop_quit(exchange->loop);
}

static gboolean
on_deadline(gpointer data)
{
    struct exchange *exchange = data;

    exchange->timed_out = true;
    return G_SOURCE_CONTINUE;
}

static gboolean
on_attempt_timeout(gpointer data)
{
    RpConn_Close(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_retry_pause_end(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_REMOVE;
}

/* Sends the request to one instance and waits for the answer, the end of the
 * connection or ATTEMPT_TIMEOUT_MS; without an answer, pauses after that. */
static void
ask_instance(struct exchange *exchange, const struct rp_conn_context *context,
             struct rp_endpoint to)
{
    static const struct rp_conn_ops ops = {
        .ready = on_ready, .message = on_message, .closed = on_closed};

    struct rp_conn *conn = RpConn_Open(context, to, RP_CONN_CONNECT_TIMEOUT_US,
                                       &ops, exchange);
    guint limit = g_timeout_add(ATTEMPT_TIMEOUT_MS, on_attempt_timeout, conn);
    g_main_loop_run(exchange->loop);
    g_source_remove(limit);
    if (!exchange->answered && !exchange->timed_out) {
        g_timeout_add(RETRY_PAUSE_MS, on_retry_pause_end, exchange->loop);
        g_main_loop_run(exchange->loop);
    }
}

static bool
read_keys(const struct rp_cli_settings *settings, struct rp_keyring *keyring)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpKeyfile_Read(settings->key_file->str, keyring,
                                       &error);
    print_errors(&error);
    RpError_Clear(&error);
    return code == RP_OK && sodium_init() >= 0;
}

bool
RpCli_SendRequest(const struct rp_cli_settings *settings,
                  const struct rp_msg *request, enum rp_msg_type wanted,
                  struct rp_msg *answer, int *exit_code)
{
    struct rp_keyring keyring;
    struct rp_counters counters = {0};
    struct exchange exchange = {
        .request = request, .wanted = wanted, .answer = answer};

    if (!read_keys(settings, &keyring)) {
        *exit_code = RP_CLI_USAGE;
        return false;
    }
    struct rp_conn_context context = {
        .keyring = &keyring,
        .hello = {.version = RP_PROTOCOL_VERSION, .role = RP_ROLE_OPERATOR},
        .counters = &counters};
    RpName_Set(&context.hello.name, RP_STR("operator"));
    exchange.loop = g_main_loop_new(NULL, FALSE);
    guint deadline = g_timeout_add_seconds(settings->timeout_seconds,
                                           on_deadline, &exchange);
    /* Start with the instance that answered the last request. */
    static size_t preferred;
    while (!exchange.answered && !exchange.timed_out) {
        preferred %= settings->controls.count;
        ask_instance(&exchange, &context, settings->controls.item[preferred]);
        preferred += !exchange.answered;
    }
    g_source_remove(deadline);
    g_main_loop_unref(exchange.loop);
    RpKeyfile_Clear(&keyring);
    if (!exchange.answered) {
        fprintf(stderr, "no control instance answered within %u s%s\n",
                settings->timeout_seconds,
                exchange.unknown_request
                    ? ": those that run are of a release without this request"
                    : "");
        *exit_code = RP_CLI_UNREACHABLE;
    }
    return exchange.answered;
}

void
RpCli_PrintJson(JsonBuilder *builder)
{
    JsonGenerator *generator = json_generator_new();
    JsonNode *root = json_builder_get_root(builder);

    json_generator_set_pretty(generator, TRUE);
    json_generator_set_root(generator, root);
    gchar *text = json_generator_to_data(generator, NULL);
    printf("%s\n", text);
    g_free(text);
    json_node_free(root);
    g_object_unref(generator);
    g_object_unref(builder);
}

void
RpCli_AddText(JsonBuilder *builder, const char *name, const char *text)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, text);
}

void
RpCli_AddNumber(JsonBuilder *builder, const char *name, uint64_t number)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)number);
}

bool
RpCli_IsColourAllowed(void)
{
    return isatty(STDOUT_FILENO) && !getenv("NO_COLOR");
}
