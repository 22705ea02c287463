/* What the daemon's roles have in common: start-up, the main loop, signals
 * and the exit codes. */
#ifndef RP_DAEMON_H
#define RP_DAEMON_H

#include <glib.h>

#include "rp_admin.h"
#include "rp_codec.h"
#include "rp_conn.h"
#include "rp_settings.h"

#define RP_EXIT_OK 0
#define RP_EXIT_FAILED 1   /* a fault at run time */
#define RP_EXIT_SETTINGS 2 /* bad settings: nothing was started */

/* Settings that every role has. */
struct rp_common_settings {
    struct rp_name name;
    struct rp_name zone;
    GString *key_file; /* NULL: the key stands in `key` */
    GString *key;
    enum rp_log_level log_level;
    struct rp_endpoint admin; /* port 0: no admin page */
};

/* Rows for a settings table whose target has `member` of the struct above
 * as its common settings. */
#define RP_COMMON_SETTINGS(type, member)                                      \
    {.flag = "name",                                                          \
     .kind = RP_SETTING_NAME,                                                 \
     .offset = offsetof(struct type, member.name),                            \
     .value = "NAME",                                                         \
     .help = "this instance's own name"},                                     \
        {.flag = "zone",                                                      \
         .kind = RP_SETTING_NAME,                                             \
         .offset = offsetof(struct type, member.zone),                        \
         .value = "NAME",                                                     \
         .help = "the data centre it runs in",                                \
         .fallback = "default"},                                              \
        {.flag = "key-file",                                                  \
         .kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct type, member.key_file),                    \
         .value = "FILE",                                                     \
         .help = "file with the shared keys of the system's processes",       \
         .unless = "key"},                                                    \
        {.flag = "key",                                                       \
         .kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct type, member.key),                         \
         .value = "KEY",                                                      \
         .help = "the shared key itself, for settings files that only the "   \
                 "daemon can read",                                           \
         .optional = true},                                                   \
        {.flag = "log-level",                                                 \
         .kind = RP_SETTING_LEVEL,                                            \
         .offset = offsetof(struct type, member.log_level),                   \
         .value = "LEVEL",                                                    \
         .help = "debug, info, warn or error",                                \
         .fallback = "info"},                                                 \
    {                                                                         \
        .flag = "admin", .kind = RP_SETTING_ENDPOINT,                         \
        .offset = offsetof(struct type, member.admin), .value = "ADDR:PORT",  \
        .help = "serve /metrics and /healthz here", .optional = true          \
    }

/* A row for the format of packets; `member` is a GString pointer. */
#define RP_PACKETS_SETTING(type, member_)                                     \
    {                                                                         \
        .flag = "packets", .kind = RP_SETTING_TEXT,                           \
        .offset = offsetof(struct type, member_), .value = "FORMAT",          \
        .help = "format of packets: ipv4 (inside Geneve) or platform",        \
        .fallback = "ipv4"                                                    \
    }

/* A row for the port at which all control instances listen for processes of
 * the system, where the addresses in `control` name another one. */
#define RP_CONTROL_PORT_SETTING(type, member_)                                \
    {                                                                         \
        .flag = "control-port", .kind = RP_SETTING_UINT,                      \
        .offset = offsetof(struct type, member_), .value = "PORT",            \
        .help = "in place of the ports in --control; 0: they stand",          \
        .fallback = "0", .max = UINT16_MAX                                    \
    }

/* Called when the process is asked to stop. */
typedef void (*RpDaemon_Stop)(void *user);

/* Called with settings that were read again, of the same struct as at the
 * start; the callee takes what it can change while it runs. */
typedef void (*RpDaemon_Reload)(void *user, const void *settings);

/* Where a role's settings come from. */
struct rp_settings_source {
    const struct rp_setting *table;
    size_t count;
    size_t size; /* of the struct that they fill */
    int argc;
    char **argv;
};

/* What every role has while it runs. */
struct rp_daemon {
    const char *role_name;
    GMainLoop *loop;
    struct rp_log *log;
    struct rp_counters counters;
    struct rp_keyring keyring;
    struct rp_conn_context context;
    struct rp_admin *admin;
    RpDaemon_Stop stop;
    void *stop_user;
    bool stop_asked;
    int exit_code;
    struct rp_settings_source source;
    RpDaemon_Reload reload; /* NULL: nothing can change while it runs */
    void *reload_user;
    int64_t file_changed; /* when the settings file was last changed */
};

/* Reads the settings and prints what is wrong with them. True if the role
 * can start; else `*exit_code` is the process's. */
bool RpDaemon_ReadSettings(const struct rp_setting *settings, size_t count,
                           const char *program, const char *usage, int argc,
                           char **argv, void *target, int *exit_code);

/* Prepares log, keys, loop and signals. False (after printing why) if that
 * fails. `stop` is called for SIGTERM and SIGINT. */
bool RpDaemon_Start(struct rp_daemon *daemon, enum rp_role role,
                    const struct rp_common_settings *settings,
                    RpDaemon_Stop stop, void *user);

/* From now on settings are read again on SIGHUP and when the file changes.
 * Bad ones are logged and change nothing. */
void RpDaemon_WatchSettings(struct rp_daemon *daemon,
                            const struct rp_settings_source *source,
                            RpDaemon_Reload reload, void *user);

/* The format of packets of this name; NULL after printing a finding. */
const struct rp_codec *RpDaemon_FindCodec(const GString *name);

/* Puts `port` in place of each endpoint's own, unless it is 0. */
void RpDaemon_SetPorts(struct rp_endpoints *endpoints, uint32_t port);

/* Opens the admin page if one is set. */
bool RpDaemon_OpenAdmin(struct rp_daemon *daemon,
                        const struct rp_common_settings *settings,
                        const struct rp_admin_ops *ops, void *user);

/* Writes one line with all findings, after `pairs` (which may be empty and
 * end in a blank otherwise). */
void RpDaemon_LogFindings(const struct rp_daemon *daemon,
                          enum rp_log_level level, const char *event,
                          const char *pairs, const struct rp_error *error);

/* Prints findings to standard error. */
void RpDaemon_PrintFindings(const struct rp_error *error);

/* Runs until RpDaemon_Quit; returns the exit code. */
int RpDaemon_Run(struct rp_daemon *daemon);

/* Ends the main loop. */
void RpDaemon_Quit(struct rp_daemon *daemon, int exit_code);

/* Frees what RpDaemon_Start made. */
void RpDaemon_End(struct rp_daemon *daemon);

/* The roles. Each returns the process's exit code. */
int RpBalancer_Main(int argc, char **argv);
int RpAgent_Main(int argc, char **argv);
int RpControl_Main(int argc, char **argv);

#endif
