/* What the operator's commands have in common. */
#ifndef RP_CLI_H
#define RP_CLI_H

#include <json-glib/json-glib.h>

#include "rp_conn.h"
#include "rp_settings.h"

/* Exit codes of radishport. */
#define RP_CLI_OK 0
#define RP_CLI_REFUSED 1     /* the system said no, or nothing was found */
#define RP_CLI_USAGE 2       /* bad flags, settings or files */
#define RP_CLI_UNKNOWN 3     /* no answer: try again with the same id */
#define RP_CLI_UNREACHABLE 4 /* no control instance answered */

/* Settings that every command has. */
struct rp_cli_settings {
    struct rp_endpoints controls;
    GString *key_file;
    uint32_t timeout_seconds;
    bool json;
};

/* Rows for a settings table whose target has `member` of the struct above
 * as its common settings. */
#define RP_CLI_SETTINGS(type, member)                                         \
    {.flag = "control",                                                       \
     .kind = RP_SETTING_ENDPOINTS,                                            \
     .offset = offsetof(struct type, member.controls),                        \
     .value = "ADDR:PORT,…",                                                  \
     .help = "the control instances"},                                        \
        {.flag = "key-file",                                                  \
         .kind = RP_SETTING_TEXT,                                             \
         .offset = offsetof(struct type, member.key_file),                    \
         .value = "FILE",                                                     \
         .help = "shared keys of the system"},                                \
        {.flag = "timeout-seconds",                                           \
         .kind = RP_SETTING_UINT,                                             \
         .offset = offsetof(struct type, member.timeout_seconds),             \
         .value = "N",                                                        \
         .help = "give up asking after this long",                            \
         .fallback = "10",                                                    \
         .max = 3600},                                                        \
    {                                                                         \
        .flag = "json", .kind = RP_SETTING_SWITCH,                            \
        .offset = offsetof(struct type, member.json),                         \
        .help = "print JSON instead of a table"                               \
    }

/* Reads a command's settings; true if it can go on. */
bool RpCli_ReadSettings(const struct rp_setting *settings, size_t count,
                        const char *program, const char *usage, int argc,
                        char **argv, void *target, int *exit_code);

/* Sends a request to one control instance after the other until one gives
 * an answer of the wanted type or the time is over. The answer must be
 * cleared. `*exit_code` is set on failure. */
bool RpCli_Ask(const struct rp_cli_settings *settings,
               const struct rp_msg *request, enum rp_msg_type wanted,
               struct rp_msg *answer, int *exit_code);

/* Asks every control instance for its status and puts the answers together:
 * each knows the nodes that are connected to it. `only` may be empty. The
 * answer must be cleared. */
bool RpCli_AskStatus(const struct rp_cli_settings *settings,
                     const struct rp_name *only, struct rp_msg *answer,
                     int *exit_code);

/* How many nodes are connected, and how many of them run less than
 * `revision`. */
size_t RpCli_CountNodes(const struct rp_msg_status *status, uint64_t revision,
                        size_t *behind);

/* Prints a JSON tree built with `builder` and frees the builder. */
void RpCli_PrintJson(JsonBuilder *builder);

/* Adds "name": value to a JSON object. */
void RpCli_AddText(JsonBuilder *builder, const char *name, const char *text);
void RpCli_AddNumber(JsonBuilder *builder, const char *name, uint64_t number);

/* Whether standard output is a terminal that may be coloured. */
bool RpCli_MayColour(void);

/* The commands; each returns the exit code. */
int RpCli_ServiceApply(int argc, char **argv);
int RpCli_ServiceDelete(int argc, char **argv);
int RpCli_ServiceList(int argc, char **argv);
int RpCli_ServiceGet(int argc, char **argv);
int RpCli_ServiceStatus(int argc, char **argv);
int RpCli_UpstreamDrain(int argc, char **argv);
int RpCli_UpstreamResume(int argc, char **argv);
int RpCli_Status(int argc, char **argv);
int RpCli_Explain(int argc, char **argv);

#endif
