/* Shared by the commands of radishport: exit codes, common settings, requests
 * to control instances, JSON output, and each command's entry point. */
#ifndef RP_CLI_H
#define RP_CLI_H

#include <json-glib/json-glib.h>

#include "rp_conn.h"
#include "rp_settings.h"

/* Exit codes of radishport. */
#define RP_CLI_OK 0
#define RP_CLI_REFUSED 1     /* the request was refused, or found nothing */
#define RP_CLI_USAGE 2       /* invalid flags, settings or files */
#define RP_CLI_UNKNOWN 3     /* no answer to a change: repeat with its id */
#define RP_CLI_UNREACHABLE 4 /* no control instance answered */

/* Settings of every command that talks to control instances. */
struct rp_cli_settings {
    struct rp_endpoints controls;
    GString *key_file;
    uint32_t timeout_seconds;
    bool json;
};

/* Settings table entries for the common settings. The table fills a
 * `struct type`, whose `member` is a struct rp_cli_settings. */
#define RP_CLI_SETTINGS(type, member)                                         \
    {.flag = "control",                                                       \
     .kind = RP_SETTING_ENDPOINTS,                                            \
     .offset = offsetof(struct type, member.controls),                        \
     .value = "ADDR:PORT,…",                                                  \
     .help = "addresses of the control instances"},                           \
        {.flag = "key-file",                                                  \
         .kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct type, member.key_file),                    \
         .value = "FILE",                                                     \
         .help = "file with the system's shared keys"},                       \
        {.flag = "timeout-seconds",                                           \
         .kind = RP_SETTING_UINT,                                             \
         .offset = offsetof(struct type, member.timeout_seconds),             \
         .value = "N",                                                        \
         .help = "give up on a request after N seconds",                      \
         .fallback = "10",                                                    \
         .max = 3600},                                                        \
    {                                                                         \
        .flag = "json", .kind = RP_SETTING_SWITCH,                            \
        .offset = offsetof(struct type, member.json),                         \
        .help = "print JSON instead of a table"                               \
    }

/* Reads a command's settings into `target` and prints errors to stderr.
 * Returns false if the command must end with `*exit_code`: a setting is
 * invalid, or the help text was asked for and printed. */
bool RpCli_ReadSettings(const struct rp_setting *settings, size_t count,
                        const char *program, const char *usage, int argc,
                        char **argv, void *target, int *exit_code);

/* Sends a request to one control instance after the other, until one answers
 * with a message of type `wanted` or settings->timeout_seconds have passed.
 * On success returns true, and the caller clears `*answer` with RpMsg_Clear.
 * On failure prints the reason to stderr and sets `*exit_code`. */
bool RpCli_SendRequest(const struct rp_cli_settings *settings,
                       const struct rp_msg *request, enum rp_msg_type wanted,
                       struct rp_msg *answer, int *exit_code);

/* Asks every control instance for its status and merges the answers, because
 * each instance knows only the nodes that are connected to it. `only` limits
 * the status to one service; NULL means all services. Returns true if at
 * least one instance answered; the caller then clears `*answer` with
 * RpMsg_Clear. Sets `*exit_code` if no instance answered. */
bool RpCli_FetchStatus(const struct rp_cli_settings *settings,
                       const struct rp_name *only, struct rp_msg *answer,
                       int *exit_code);

/* Returns the number of connected nodes, and sets `*behind` to how many of
 * them run a revision older than `revision`. */
size_t RpCli_CountNodes(const struct rp_msg_status *status, uint64_t revision,
                        size_t *behind);

/* Settings of a command that sends a change. */
struct rp_cli_change {
    struct rp_cli_settings cli;
    GString *argument; /* what the change is about, for messages */
    GString *id;       /* of an earlier attempt; NULL: a new change */
    uint32_t wait_seconds;
};

/* Settings table entries for a struct that begins with a struct
 * rp_cli_change. */
#define RP_CLI_CHANGE_SETTINGS(argument_value, argument_help)                 \
    RP_CLI_SETTINGS(rp_cli_change, cli),                                      \
        {.kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct rp_cli_change, argument),                  \
         .value = argument_value,                                             \
         .help = argument_help},                                              \
        {.flag = "id",                                                        \
         .kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct rp_cli_change, id),                        \
         .value = "HEX",                                                      \
         .help = "change id of an earlier attempt (32 hex digits)",           \
         .optional = true},                                                   \
    {                                                                         \
        .flag = "wait-seconds", .kind = RP_SETTING_UINT,                      \
        .offset = offsetof(struct rp_cli_change, wait_seconds), .value = "N", \
        .help = "wait up to N seconds for all nodes to run the change",       \
        .fallback = "7", .max = RP_CLI_MAX_WAIT_SECONDS                       \
    }
#define RP_CLI_MAX_WAIT_SECONDS 3600

/* Sets the id of a change: a new one, or that of --id. Returns false after
 * printing the error. */
bool RpCli_FillChangeId(const struct rp_cli_change *settings,
                        struct rp_msg_change *change);

/* Sends a change, prints the answer, and waits until the change is in force
 * everywhere. Returns the exit code. */
int RpCli_SendChange(const struct rp_cli_change *settings,
                     const struct rp_msg *request);

/* Prints the JSON tree of `builder` to stdout and frees the builder. */
void RpCli_PrintJson(JsonBuilder *builder);

/* Add the member `name` to the JSON object that is open in `builder`. */
void RpCli_AddText(JsonBuilder *builder, const char *name, const char *text);
void RpCli_AddNumber(JsonBuilder *builder, const char *name, uint64_t number);

/* Returns whether output may have colours: standard output is a terminal, and
 * NO_COLOR is not set. */
bool RpCli_IsColourAllowed(void);

/* The commands. argv[0] is the last word of the command's name, the arguments
 * follow. Each returns the exit code. */
int RpCli_ServiceApply(int argc, char **argv);
int RpCli_ServiceDelete(int argc, char **argv);
int RpCli_ServiceList(int argc, char **argv);
int RpCli_ServiceGet(int argc, char **argv);
int RpCli_ServiceStatus(int argc, char **argv);
int RpCli_UpstreamDrain(int argc, char **argv);
int RpCli_UpstreamResume(int argc, char **argv);
int RpCli_ZoneEvacuate(int argc, char **argv);
int RpCli_ZoneRestore(int argc, char **argv);
int RpCli_Status(int argc, char **argv);
int RpCli_Explain(int argc, char **argv);
int RpCli_RouteExplain(int argc, char **argv);

#endif
