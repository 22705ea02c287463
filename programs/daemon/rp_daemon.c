/* Start-up, settings reload and shutdown of a role. */
#include "rp_daemon.h"

#include <glib-unix.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>

#include "rp_clock.h"
#include "rp_keyfile.h"
#include "rp_platform.h"
#include "rp_process.h"

/* How often the settings file is checked for a change without a SIGHUP.
 * Seconds. */
#define WATCH_INTERVAL_SECONDS 5
/* How often the log reports the number of suppressed lines. Seconds. */
#define REPORT_INTERVAL_SECONDS 2

void
RpDaemon_PrintFindings(const struct rp_error *error)
{
    GString *text = g_string_new(NULL);

    RpError_Format(error, text);
    fwrite(text->str, 1, text->len, stderr);
    g_string_free(text, TRUE);
}

void
RpDaemon_LogFindings(const struct rp_daemon *daemon, enum rp_log_level level,
                     const char *event, const char *pairs,
                     const struct rp_error *error)
{
    GString *text = g_string_new(NULL);
    GString *quoted = g_string_new(NULL);

    RpError_Format(error, text);
    RpLog_Quote(quoted, (struct rp_str){.data = text->str, .len = text->len});
    RpLog_Event(daemon->log, level, event, "%sfindings=%s", pairs,
                quoted->str);
    g_string_free(text, TRUE);
    g_string_free(quoted, TRUE);
}

bool
RpDaemon_ReadSettings(const struct rp_setting *settings, size_t count,
                      const char *program, const char *usage, int argc,
                      char **argv, void *target, int *exit_code)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_settings_result result = RpSettings_Read(
        settings, count, program, usage, argc, argv, target, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    *exit_code = result == RP_SETTINGS_BAD ? RP_EXIT_SETTINGS : RP_EXIT_OK;
    return result == RP_SETTINGS_READY;
}

/* Handles SIGTERM and SIGINT: the first one requests a stop, a second one ends
 * the process with RP_EXIT_FAILED. */
static gboolean
on_signal(gpointer data)
{
    struct rp_daemon *daemon = data;

    if (daemon->stop_requested) {
        RpDaemon_Quit(daemon, RP_EXIT_FAILED);
        return G_SOURCE_CONTINUE;
    }
    daemon->stop_requested = true;
    RpLog_Event(daemon->log, RP_LOG_INFO, "stop_requested", "%s", "");
    daemon->stop(daemon->stop_user);
    return G_SOURCE_CONTINUE;
}

static bool
read_keys(struct rp_daemon *daemon, const struct rp_common_settings *settings)
{
    struct rp_error error;
    enum rp_code code;

    RpError_Init(&error);
    if (settings->key_file) {
        code = RpKeyfile_Read(settings->key_file->str, &daemon->keyring,
                              &error);
    }
    else {
        struct rp_str text = {.data = settings->key->str,
                              .len = settings->key->len};
        code = RpKeyfile_Parse(text, "--key", &daemon->keyring, &error);
    }
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return code == RP_OK;
}

static gboolean
on_log_report(gpointer data)
{
    struct rp_daemon *daemon = data;

    RpLog_ReportSuppressed(daemon->log);
    daemon->counters.value[RP_COUNT_LOG_LINES_LOST] = RpLog_Lost(daemon->log);
    return G_SOURCE_CONTINUE;
}

static void
on_paused(void *user, int64_t pause_us)
{
    const struct rp_daemon *daemon = user;

    RpLog_Event(daemon->log, RP_LOG_WARN, "process_paused",
                "ms=%" G_GINT64_FORMAT, pause_us / RP_US_PER_MS);
}

bool
RpDaemon_Start(struct rp_daemon *daemon, enum rp_role role,
               const struct rp_common_settings *settings, RpDaemon_Stop stop,
               void *user)
{
    memset(daemon, 0, sizeof *daemon);
    daemon->exit_code = RP_EXIT_SETTINGS;
    if (sodium_init() < 0 || !read_keys(daemon, settings)) {
        return false;
    }
    daemon->role_name = RpRole_Name(role);
    daemon->exit_code = RP_EXIT_OK;
    daemon->log = RpLog_Create(stdout, settings->log_level, daemon->role_name,
                               settings->name.data);
    daemon->context = (struct rp_conn_context){
        .keyring = &daemon->keyring,
        .hello = {.version = RP_PROTOCOL_VERSION,
                  .role = (uint8_t)role,
                  .name = settings->name,
                  .zone = settings->zone,
                  .two_way = 1},
        .counters = &daemon->counters,
        .log = daemon->log,
        .attempts = RpConn_NewAttempts()};
    daemon->net = (struct rp_net_context){.counters = &daemon->counters,
                                          .log = daemon->log};
    daemon->given = g_string_new(NULL);
    daemon->loop = g_main_loop_new(NULL, FALSE);
    /* A control replica detects pauses in its own ticks. */
    RpProcess_WatchLoop(&daemon->counters,
                        role == RP_ROLE_CONTROL ? NULL : on_paused, daemon);
    g_timeout_add_seconds(REPORT_INTERVAL_SECONDS, on_log_report, daemon);

    daemon->stop = stop;
    daemon->stop_user = user;
    /* Over a limit on the size of files, writes fail as on a full disk. */
    signal(SIGXFSZ, SIG_IGN);
    g_unix_signal_add(SIGTERM, on_signal, daemon);
    g_unix_signal_add(SIGINT, on_signal, daemon);
    return true;
}

/* Returns the mtime of the settings file in microseconds; 0 if there is
 * none. */
static int64_t
read_settings_file_mtime(const struct rp_settings_source *source)
{
    gchar *path = RpSettings_FilePath(source->argc, source->argv);
    GStatBuf status = {0};

    if (!path || g_stat(path, &status)) {
        g_free(path);
        return 0;
    }
    g_free(path);
    return (int64_t)status.st_mtim.tv_sec * RP_US_PER_SECOND +
           status.st_mtim.tv_nsec / 1000;
}

static void
reload_settings(struct rp_daemon *daemon)
{
    const struct rp_settings_source *source = &daemon->source;
    /* The strings inside are not freed, because the role may have kept
     * pointers to them. */
    void *settings = g_malloc0(source->size);
    struct rp_error error;

    RpError_Init(&error);
    daemon->file_mtime = read_settings_file_mtime(source);
    if (RpSettings_Read(source->table, source->count, daemon->role_name, "",
                        source->argc, source->argv, settings,
                        &error) == RP_SETTINGS_READY) {
        daemon->reload(daemon->reload_user, settings);
        RpLog_Event(daemon->log, RP_LOG_INFO, "settings_reloaded", "%s",
                    daemon->given->str);
    }
    else {
        RpDaemon_LogFindings(daemon, RP_LOG_ERROR, "settings_refused", "",
                             &error);
    }
    RpError_Clear(&error);
    g_free(settings);
}

static gboolean
on_sighup(gpointer data)
{
    reload_settings(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_watch_timer(gpointer data)
{
    struct rp_daemon *daemon = data;

    if (read_settings_file_mtime(&daemon->source) != daemon->file_mtime) {
        reload_settings(daemon);
    }
    return G_SOURCE_CONTINUE;
}

void
RpDaemon_WatchSettings(struct rp_daemon *daemon,
                       const struct rp_settings_source *source,
                       RpDaemon_Reload reload, void *user)
{
    daemon->source = *source;
    daemon->reload = reload;
    daemon->reload_user = user;
    daemon->file_mtime = read_settings_file_mtime(source);
    g_unix_signal_add(SIGHUP, on_sighup, daemon);
    if (daemon->file_mtime) {
        g_timeout_add_seconds(WATCH_INTERVAL_SECONDS, on_watch_timer, daemon);
    }
}

void
RpDaemon_DescribeSettings(struct rp_daemon *daemon,
                          const struct rp_endpoints *controls,
                          const char *pairs)
{
    char address[RP_ENDPOINT_TEXT_MAX];

    g_string_assign(daemon->given, "control=");
    for (size_t i = 0; i < controls->count; i++) {
        g_string_append_printf(daemon->given, "%s%s", i ? "," : "",
                               RpEndpoint_Format(controls->item[i], address));
    }
    if (controls->count == 0) {
        g_string_append(daemon->given, "none");
    }
    g_string_append_printf(daemon->given, "%s%s", pairs[0] ? " " : "", pairs);
}

const struct rp_codec *
RpDaemon_FindCodec(const GString *name)
{
    static const struct rp_codec *const codecs[] = {&rp_codec_ipv4,
                                                    &rp_codec_platform};

    for (size_t i = 0; i < G_N_ELEMENTS(codecs); i++) {
        if (!strcmp(name->str, codecs[i]->ops->name)) {
            return codecs[i];
        }
    }
    fprintf(stderr,
            "--packets: \"%s\" is not a packet format: use ipv4 or platform\n",
            name->str);
    return NULL;
}

void
RpDaemon_SetPorts(struct rp_endpoints *endpoints, uint32_t port)
{
    for (size_t i = 0; port != 0 && i < endpoints->count; i++) {
        endpoints->item[i].port = (uint16_t)port;
    }
}

bool
RpDaemon_OpenAdmin(struct rp_daemon *daemon,
                   const struct rp_common_settings *settings,
                   const struct rp_admin_ops *ops, void *user)
{
    struct rp_error error;

    if (settings->admin.port == 0) {
        return true;
    }
    RpError_Init(&error);
    daemon->admin = RpAdmin_Open(settings->admin, daemon->role_name,
                                 &daemon->net, ops, user, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return daemon->admin != NULL;
}

int
RpDaemon_Run(struct rp_daemon *daemon)
{
    RpLog_Event(daemon->log, RP_LOG_INFO, "started", "version=%s %s",
                RP_VERSION, daemon->given->str);
    g_main_loop_run(daemon->loop);
    RpLog_Event(daemon->log, RP_LOG_INFO, "stopped", "code=%d",
                daemon->exit_code);
    return daemon->exit_code;
}

void
RpDaemon_Quit(struct rp_daemon *daemon, int exit_code)
{
    daemon->exit_code = exit_code;
    g_main_loop_quit(daemon->loop);
}

void
RpDaemon_Clear(struct rp_daemon *daemon)
{
    RpAdmin_Close(daemon->admin);
    RpLog_Free(daemon->log);
    RpKeyfile_Clear(&daemon->keyring);
    g_clear_pointer(&daemon->context.attempts, g_hash_table_destroy);
    if (daemon->given) {
        g_string_free(daemon->given, TRUE);
    }
    if (daemon->loop) {
        g_main_loop_unref(daemon->loop);
    }
}
