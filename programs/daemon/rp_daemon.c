#include "rp_daemon.h"

#include <glib-unix.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>

#include "rp_keyfile.h"

void
RpDaemon_PrintFindings(const struct rp_error *error)
{
    GString *text = g_string_new(NULL);

    RpError_Format(error, text);
    fwrite(text->str, 1, text->len, stderr);
    g_string_free(text, TRUE);
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

/* The first signal asks the role to stop; a second one ends it at once. */
static gboolean
on_signal(gpointer data)
{
    struct rp_daemon *daemon = data;

    if (daemon->stop_asked) {
        RpDaemon_Quit(daemon, RP_EXIT_FAILED);
        return G_SOURCE_CONTINUE;
    }
    daemon->stop_asked = true;
    RpLog_Event(daemon->log, RP_LOG_INFO, "stop_requested", "%s", "");
    daemon->stop(daemon->stop_user);
    return G_SOURCE_CONTINUE;
}

static bool
read_keys(struct rp_daemon *daemon, const struct rp_common_settings *settings)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpKeyfile_Read(settings->key_file->str,
                                       &daemon->keyring, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return code == RP_OK;
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
    daemon->log = RpLog_Create(stderr, settings->log_level, daemon->role_name,
                               settings->name.data);
    daemon->context = (struct rp_conn_context){
        .keyring = &daemon->keyring,
        .hello = {.version = RP_PROTOCOL_VERSION,
                  .role = (uint8_t)role,
                  .name = settings->name,
                  .zone = settings->zone},
        .counters = &daemon->counters,
        .log = daemon->log};
    daemon->loop = g_main_loop_new(NULL, FALSE);

    daemon->stop = stop;
    daemon->stop_user = user;
    g_unix_signal_add(SIGTERM, on_signal, daemon);
    g_unix_signal_add(SIGINT, on_signal, daemon);
    return true;
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
                                 &daemon->counters, ops, user, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return daemon->admin != NULL;
}

int
RpDaemon_Run(struct rp_daemon *daemon)
{
    RpLog_Event(daemon->log, RP_LOG_INFO, "started", "version=%s", RP_VERSION);
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
RpDaemon_End(struct rp_daemon *daemon)
{
    RpAdmin_Close(daemon->admin);
    RpLog_Free(daemon->log);
    RpKeyfile_Clear(&daemon->keyring);
    if (daemon->loop) {
        g_main_loop_unref(daemon->loop);
    }
}
