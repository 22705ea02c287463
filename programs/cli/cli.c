#include "cli.h"

#include <sodium.h>
#include <stdlib.h>
#include <unistd.h>

#include "rp_keyfile.h"

#define RETRY_PAUSE_MS 100
/* A control instance that has not answered by then may be frozen: another
 * one is asked. Changes carry an id, so that asking twice does no harm. */
#define TRY_TIMEOUT_MS 1000

/* One question to one control instance after the other. */
struct question {
    const struct rp_msg *request;
    enum rp_msg_type wanted;
    struct rp_msg *answer;
    GMainLoop *loop;
    bool answered;
    bool over;
};

static void
print_findings(const struct rp_error *error)
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
    print_findings(&error);
    RpError_Clear(&error);
    *exit_code = result == RP_SETTINGS_BAD ? RP_CLI_USAGE : RP_CLI_OK;
    return result == RP_SETTINGS_READY;
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    const struct question *question = user;

    (void)hello;
    RpConn_Send(conn, question->request);
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    struct question *question = user;
    /* Only the leader decides changes and hands out documents. */
    bool elsewhere = (msg->type == RP_MSG_CHANGE_REPLY &&
                      msg->change_reply.code == RP_ERR_NO_LEADER) ||
                     (msg->type == RP_MSG_DOCUMENT &&
                      msg->document.code == RP_ERR_NO_LEADER);

    if (msg->type == question->wanted && !elsewhere && !question->answered) {
        *question->answer = *msg;
        msg->type = RP_MSG_NONE;
        question->answered = true;
    }
    RpConn_Close(conn);
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct question *question = user;

    (void)conn;
    g_main_loop_quit(question->loop);
}

static gboolean
on_deadline(gpointer data)
{
    struct question *question = data;

    question->over = true;
    return G_SOURCE_CONTINUE;
}

static gboolean
on_try_over(gpointer data)
{
    RpConn_Close(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_pause_over(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_REMOVE;
}

static void
ask_one(struct question *question, const struct rp_conn_context *context,
        struct rp_endpoint to)
{
    static const struct rp_conn_ops ops = {
        .ready = on_ready, .message = on_message, .closed = on_closed};

    struct rp_conn *conn = RpConn_Open(context, to, RP_CONN_CONNECT_TIMEOUT_US,
                                       &ops, question);
    guint limit = g_timeout_add(TRY_TIMEOUT_MS, on_try_over, conn);
    g_main_loop_run(question->loop);
    g_source_remove(limit);
    if (!question->answered && !question->over) {
        g_timeout_add(RETRY_PAUSE_MS, on_pause_over, question->loop);
        g_main_loop_run(question->loop);
    }
}

static bool
read_keys(const struct rp_cli_settings *settings, struct rp_keyring *keyring)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpKeyfile_Read(settings->key_file->str, keyring,
                                       &error);
    print_findings(&error);
    RpError_Clear(&error);
    return code == RP_OK && sodium_init() >= 0;
}

bool
RpCli_Ask(const struct rp_cli_settings *settings, const struct rp_msg *request,
          enum rp_msg_type wanted, struct rp_msg *answer, int *exit_code)
{
    struct rp_keyring keyring;
    struct rp_counters counters = {0};
    struct question question = {
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
    question.loop = g_main_loop_new(NULL, FALSE);
    guint deadline = g_timeout_add_seconds(settings->timeout_seconds,
                                           on_deadline, &question);
    /* Start with the one that answered last. */
    static size_t preferred;
    while (!question.answered && !question.over) {
        preferred %= settings->controls.count;
        ask_one(&question, &context, settings->controls.item[preferred]);
        preferred += !question.answered;
    }
    g_source_remove(deadline);
    g_main_loop_unref(question.loop);
    RpKeyfile_Clear(&keyring);
    if (!question.answered) {
        fprintf(stderr, "no control instance answered within %u s\n",
                settings->timeout_seconds);
        *exit_code = RP_CLI_UNREACHABLE;
    }
    return question.answered;
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
RpCli_MayColour(void)
{
    return isatty(STDOUT_FILENO) && !getenv("NO_COLOR");
}
