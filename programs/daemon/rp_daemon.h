/* Code shared by the roles of the daemon: start-up, the main loop, signals,
 * settings and exit codes. */
#ifndef RP_DAEMON_H
#define RP_DAEMON_H

#include <glib.h>

#include "rp_admin.h"
#include "rp_codec.h"
#include "rp_conn.h"
#include "rp_settings.h"

#define RP_EXIT_OK 0
#define RP_EXIT_FAILED 1   /* a failure while starting or running */
#define RP_EXIT_SETTINGS 2 /* bad settings: the role was not started */

/* Settings common to all roles. */
struct rp_common_settings {
    struct rp_name name;
    struct rp_name zone;
    GString *key_file; /* NULL: `key` holds the keys */
    GString *key;
    enum rp_log_level log_level;
    struct rp_endpoint admin; /* port 0: no admin page */
};

/* Rows of a settings table for the common settings, which are the member
 * `member` of struct `type`. */
#define RP_COMMON_SETTINGS(type, member)                                      \
    {.flag = "name",                                                          \
     .kind = RP_SETTING_NAME,                                                 \
     .offset = offsetof(struct type, member.name),                            \
     .value = "NAME",                                                         \
     .help = "name of this instance, unique in the system"},                  \
        {.flag = "zone",                                                      \
         .kind = RP_SETTING_NAME,                                             \
         .offset = offsetof(struct type, member.zone),                        \
         .value = "NAME",                                                     \
         .help = "data centre of this instance",                              \
         .fallback = "default"},                                              \
        {.flag = "key-file",                                                  \
         .kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct type, member.key_file),                    \
         .value = "FILE",                                                     \
         .help = "file with the keys shared by all processes of the system",  \
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
         .help = "lowest level to log: debug, info, warn or error",           \
         .fallback = "info"},                                                 \
    {                                                                         \
        .flag = "admin", .kind = RP_SETTING_ENDPOINT,                         \
        .offset = offsetof(struct type, member.admin), .value = "ADDR:PORT",  \
        .help = "serve /metrics and /healthz on this address",                \
        .optional = true                                                      \
    }

/* A settings row for the packet format; `member` is a GString pointer. */
#define RP_PACKETS_SETTING(type, member_)                                     \
    {                                                                         \
        .flag = "packets", .kind = RP_SETTING_TEXT,                           \
        .offset = offsetof(struct type, member_), .value = "FORMAT",          \
        .help = "packet format: ipv4 (inside Geneve) or platform",            \
        .fallback = "ipv4"                                                    \
    }

/* A settings row for the port that all control instances listen on, where it
 * differs from the ports in the --control setting. */
#define RP_CONTROL_PORT_SETTING(type, member_)                                \
    {                                                                         \
        .flag = "control-port", .kind = RP_SETTING_UINT,                      \
        .offset = offsetof(struct type, member_), .value = "PORT",            \
        .help = "replaces the ports in --control; 0 keeps them",              \
        .fallback = "0", .max = UINT16_MAX                                    \
    }

/* Called on the first request to stop. */
typedef void (*RpDaemon_Stop)(void *user);

/* Called after the settings were read again, with the same struct type as at
 * the start. The callee applies the settings that it can change at run
 * time. */
typedef void (*RpDaemon_Reload)(void *user, const void *settings);

/* What is needed to read a role's settings again. */
struct rp_settings_source {
    const struct rp_setting *table;
    size_t count;
    size_t size; /* of the struct that they fill */
    int argc;
    char **argv;
};

/* State of a running role. */
struct rp_daemon {
    const char *role_name;
    GMainLoop *loop;
    struct rp_log *log;
    struct rp_counters counters;
    struct rp_keyring keyring;
    struct rp_conn_context context;
    struct rp_net_context net;
    struct rp_admin *admin;
    RpDaemon_Stop stop;
    void *stop_user;
    bool stop_requested;
    int exit_code;
    GString *given; /* key=value pairs, from RpDaemon_DescribeSettings */
    struct rp_settings_source source;
    RpDaemon_Reload reload; /* NULL: nothing can change while it runs */
    void *reload_user;
    int64_t file_mtime; /* mtime of the settings file, in microseconds; 0:
                         * no file */
};

/* Reads the settings into the zeroed struct at `target` and prints every
 * finding. Returns true if the role can start; otherwise `*exit_code` is the
 * exit code for the process. */
bool RpDaemon_ReadSettings(const struct rp_setting *settings, size_t count,
                           const char *program, const char *usage, int argc,
                           char **argv, void *target, int *exit_code);

/* Prepares the log, keys, main loop and signal handlers; `stop` is called on
 * the first SIGTERM or SIGINT. Returns false after printing the error;
 * `daemon->exit_code` is then set. Free with RpDaemon_Clear. */
bool RpDaemon_Start(struct rp_daemon *daemon, enum rp_role role,
                    const struct rp_common_settings *settings,
                    RpDaemon_Stop stop, void *user);

/* Reads the settings again on SIGHUP and when the settings file changes. Bad
 * settings are logged and not applied. */
void RpDaemon_WatchSettings(struct rp_daemon *daemon,
                            const struct rp_settings_source *source,
                            RpDaemon_Reload reload, void *user);

/* Sets what the lines "started" and "settings_reloaded" tell about the
 * settings: the addresses of control, and `pairs`, which is empty or key=value
 * pairs. */
void RpDaemon_DescribeSettings(struct rp_daemon *daemon,
                               const struct rp_endpoints *controls,
                               const char *pairs);

/* Returns the codec of a packet format, or NULL after printing an error. */
const struct rp_codec *RpDaemon_FindCodec(const GString *name);

/* Sets the port of every endpoint to `port`, unless `port` is 0. */
void RpDaemon_SetPorts(struct rp_endpoints *endpoints, uint32_t port);

/* Opens the admin page if the settings have an address for it. False after
 * printing the error. */
bool RpDaemon_OpenAdmin(struct rp_daemon *daemon,
                        const struct rp_common_settings *settings,
                        const struct rp_admin_ops *ops, void *user);

/* Logs all findings in one line. `pairs` is empty, or key=value pairs that end
 * with a space and precede the findings. */
void RpDaemon_LogFindings(const struct rp_daemon *daemon,
                          enum rp_log_level level, const char *event,
                          const char *pairs, const struct rp_error *error);

/* Prints findings to standard error. */
void RpDaemon_PrintFindings(const struct rp_error *error);

/* Runs the main loop until RpDaemon_Quit; returns the exit code. */
int RpDaemon_Run(struct rp_daemon *daemon);

/* Ends the main loop; RpDaemon_Run returns `exit_code`. */
void RpDaemon_Quit(struct rp_daemon *daemon, int exit_code);

/* Frees what RpDaemon_Start and RpDaemon_OpenAdmin created. */
void RpDaemon_Clear(struct rp_daemon *daemon);

/* Entry points of the roles. Each returns the process's exit code. */
int RpBalancer_Main(int argc, char **argv);
int RpAgent_Main(int argc, char **argv);
int RpControl_Main(int argc, char **argv);

#endif
