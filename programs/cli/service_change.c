/* radishport service apply and service delete, and what all commands that send
 * a change have in common: a change is repeated under the same id until a
 * control instance answers. */
#include <sodium.h>
#include <string.h>

#include "cli.h"

#define ID_TEXT_LEN (2 * RP_CHANGE_ID_SIZE)
#define POLL_US 100000

struct change_settings {
    struct rp_cli_change change; /* the argument is the path of the document,
                                  * or the service to delete */
    GString *base;
};

#define CHANGE_SETTINGS(argument_value, argument_help)                        \
    RP_CLI_CHANGE_SETTINGS(argument_value, argument_help),                    \
    {                                                                         \
        .flag = "base", .kind = RP_SETTING_TEXT,                              \
        .offset = offsetof(struct change_settings, base),                     \
        .value = "REVISION",                                                  \
        .help = "refuse the change unless this revision is current (0: a "    \
                "new service; default: the current one at the start)",        \
        .optional = true                                                      \
    }

static const struct rp_setting apply_table[] = {
    CHANGE_SETTINGS("FILE", "the service document"),
};

static const struct rp_setting delete_table[] = {
    CHANGE_SETTINGS("NAME", "the service"),
};

bool
RpCli_FillChangeId(const struct rp_cli_change *settings,
                   struct rp_msg_change *change)
{
    size_t len;

    if (!settings->id) {
        randombytes_buf(change->id, sizeof change->id);
        return true;
    }
    if (settings->id->len != ID_TEXT_LEN ||
        sodium_hex2bin(change->id, sizeof change->id, settings->id->str,
                       settings->id->len, NULL, &len, NULL) ||
        len != sizeof change->id) {
        fprintf(stderr, "--id: \"%s\" is not %d hex digits\n",
                settings->id->str, ID_TEXT_LEN);
        return false;
    }
    return true;
}

/* Sets `*revision` to the service's current revision, 0 if there is no such
 * service. Returns false and sets `*exit_code` if no instance answers. */
static bool
fetch_revision(const struct rp_cli_settings *settings,
               const struct rp_name *service, uint64_t *revision,
               int *exit_code)
{
    const struct rp_msg request = {
        .type = RP_MSG_QUERY,
        .query = {.kind = RP_QUERY_DOCUMENT, .service = *service}};
    struct rp_msg answer;

    if (!RpCli_SendRequest(settings, &request, RP_MSG_DOCUMENT, &answer,
                           exit_code)) {
        return false;
    }
    *revision = answer.document.revision;
    RpMsg_Clear(&answer);
    return true;
}

static bool
fill_base(const struct change_settings *settings, struct rp_msg_change *change,
          int *exit_code)
{
    change->has_base = 1;
    if (settings->base) {
        if (!RpStr_ToUint(RpStr_FromC(settings->base->str), UINT64_MAX,
                          &change->base)) {
            fprintf(stderr, "--base: \"%s\" is not a number\n",
                    settings->base->str);
            *exit_code = RP_CLI_USAGE;
            return false;
        }
        return true;
    }
    if (settings->change.id) {
        /* Control recognises a repeated change by its id and answers as
         * before; the base does not matter. */
        change->has_base = 0;
        return true;
    }
    return fetch_revision(&settings->change.cli, &change->service,
                          &change->base, exit_code);
}

static void
print_reply_json(const struct rp_msg_change_reply *reply, const char *id)
{
    JsonBuilder *builder = json_builder_new();

    json_builder_begin_object(builder);
    RpCli_AddText(builder, "result", RpCode_Name((enum rp_code)reply->code));
    RpCli_AddText(builder, "service", reply->service.data);
    RpCli_AddText(builder, "zone", reply->zone.data);
    RpCli_AddNumber(builder, "revision", reply->revision);
    RpCli_AddNumber(builder, "repeated", reply->repeated);
    RpCli_AddText(builder, "id", id);
    json_builder_set_member_name(builder, "findings");
    json_builder_begin_array(builder);
    for (guint i = 0; reply->findings && i < reply->findings->len; i++) {
        const struct rp_msg_finding *finding = &g_array_index(
            reply->findings, struct rp_msg_finding, i);
        json_builder_begin_object(builder);
        RpCli_AddText(builder, "place", finding->place->str);
        RpCli_AddText(builder, "text", finding->text->str);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    RpCli_PrintJson(builder);
}

static void
print_reply(const struct rp_msg_change_reply *reply, const char *argument)
{
    for (guint i = 0; reply->findings && i < reply->findings->len; i++) {
        const struct rp_msg_finding *finding = &g_array_index(
            reply->findings, struct rp_msg_finding, i);
        fprintf(stderr, "%s: %s: %s\n", argument, finding->place->str,
                finding->text->str);
    }
    if (reply->code == RP_OK) {
        printf("%s: applied at revision %" G_GUINT64_FORMAT "%s\n",
               reply->service.len ? reply->service.data : argument,
               reply->revision,
               reply->repeated    ? " (by an earlier attempt)"
               : reply->unchanged ? " (nothing changed)"
                                  : "");
    }
    else if (reply->code == RP_ERR_CONFLICT) {
        printf("%s: refused: the current revision is %" G_GUINT64_FORMAT "\n",
               reply->service.data, reply->revision);
    }
    else {
        printf("%s: refused: %s\n", argument,
               RpCode_Name((enum rp_code)reply->code));
    }
}

/* Waits until all connected nodes run the revision or --wait-seconds have
 * passed, and prints how many nodes run it. */
static void
wait_until_in_force(const struct rp_cli_change *settings, uint64_t revision)
{
    int64_t deadline = g_get_monotonic_time() +
                       settings->wait_seconds * RP_US_PER_SECOND;
    size_t nodes = 0;
    size_t behind = 0;

    do {
        struct rp_msg answer;
        int ignored;
        if (!RpCli_FetchStatus(&settings->cli, NULL, &answer, &ignored)) {
            return;
        }
        nodes = RpCli_CountNodes(&answer.status, revision, &behind);
        RpMsg_Clear(&answer);
        if (behind) {
            g_usleep(POLL_US);
        }
    } while (behind && g_get_monotonic_time() < deadline);
    fprintf(stderr, "in force on %zu of %zu instances\n", nodes - behind,
            nodes);
}

int
RpCli_SendChange(const struct rp_cli_change *settings,
                 const struct rp_msg *request)
{
    char id[ID_TEXT_LEN + 1];
    struct rp_msg answer;
    int exit_code;

    sodium_bin2hex(id, sizeof id, request->change.id, RP_CHANGE_ID_SIZE);
    if (!RpCli_SendRequest(&settings->cli, request, RP_MSG_CHANGE_REPLY,
                           &answer, &exit_code)) {
        fprintf(
            stderr,
            "unknown whether the change was applied: repeat with --id %s\n",
            id);
        return exit_code == RP_CLI_USAGE ? exit_code : RP_CLI_UNKNOWN;
    }
    bool applied = answer.change_reply.code == RP_OK;
    if (settings->cli.json) {
        print_reply_json(&answer.change_reply, id);
    }
    else {
        print_reply(&answer.change_reply, settings->argument->str);
    }
    if (applied && settings->wait_seconds) {
        wait_until_in_force(settings, answer.change_reply.revision);
    }
    RpMsg_Clear(&answer);
    return applied ? RP_CLI_OK : RP_CLI_REFUSED;
}

/* Finds the service's name in a document, to ask for its current revision. A
 * document without a name is sent unchanged: control's answer names the
 * error. */
static void
find_service_name(const GString *text, struct rp_name *name)
{
    struct rp_str rest = {.data = text->str, .len = text->len};

    while (rest.len) {
        struct rp_str value;
        struct rp_str line = RpStr_Split(rest, '\n', &rest);
        struct rp_str key = RpStr_Trim(RpStr_Split(line, '=', &value));
        if (RpStr_Equal(key, RP_STR("name"))) {
            struct rp_str comment;
            RpName_Set(name, RpStr_Trim(RpStr_Split(value, '#', &comment)));
            return;
        }
    }
}

int
RpCli_ServiceApply(int argc, char **argv)
{
    struct change_settings settings = {0};
    struct rp_msg request = {.type = RP_MSG_CHANGE,
                             .change = {.kind = RP_CHANGE_APPLY}};
    GError *failure = NULL;
    gchar *content;
    gsize len;
    int exit_code;

    if (!RpCli_ReadSettings(apply_table, G_N_ELEMENTS(apply_table),
                            "radishport service apply",
                            "Applies a service document.", argc, argv,
                            &settings, &exit_code)) {
        return exit_code;
    }
    if (!g_file_get_contents(settings.change.argument->str, &content, &len,
                             &failure)) {
        fprintf(stderr, "%s\n", failure->message);
        g_error_free(failure);
        return RP_CLI_USAGE;
    }
    request.change.document = g_string_new_len(content, (gssize)len);
    g_free(content);
    find_service_name(request.change.document, &request.change.service);
    exit_code = RP_CLI_USAGE;
    if (RpCli_FillChangeId(&settings.change, &request.change) &&
        fill_base(&settings, &request.change, &exit_code)) {
        exit_code = RpCli_SendChange(&settings.change, &request);
    }
    RpMsg_Clear(&request);
    return exit_code;
}

int
RpCli_ServiceDelete(int argc, char **argv)
{
    struct change_settings settings = {0};
    struct rp_msg request = {.type = RP_MSG_CHANGE,
                             .change = {.kind = RP_CHANGE_DELETE}};
    int exit_code;

    if (!RpCli_ReadSettings(delete_table, G_N_ELEMENTS(delete_table),
                            "radishport service delete", "Removes a service.",
                            argc, argv, &settings, &exit_code)) {
        return exit_code;
    }
    if (!RpName_Set(&request.change.service,
                    RpStr_FromC(settings.change.argument->str))) {
        fprintf(stderr, "NAME: longer than %d bytes\n", RP_NAME_MAX);
        return RP_CLI_USAGE;
    }
    request.change.document = g_string_new(NULL);
    exit_code = RP_CLI_USAGE;
    if (RpCli_FillChangeId(&settings.change, &request.change) &&
        fill_base(&settings, &request.change, &exit_code)) {
        exit_code = RpCli_SendChange(&settings.change, &request);
    }
    RpMsg_Clear(&request);
    return exit_code;
}
