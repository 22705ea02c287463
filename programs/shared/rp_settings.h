/* Settings: flags, with an environment variable and a line in a settings
 * file behind each.
 *
 * A program describes its settings in a table. A value comes from the flag,
 * else from the variable RADISHPORT_<FLAG>, else from the settings file, else
 * from the default. The file is named by --settings or RADISHPORT_SETTINGS;
 * it is a key file whose group [radishport] has the flags' names as keys.
 * Every finding on all of them is collected before the program gives up.
 */
#ifndef RP_SETTINGS_H
#define RP_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdio.h>

#include "rp_endpoint.h"
#include "rp_error.h"
#include "rp_log.h"

#define RP_ENDPOINTS_MAX 15        /* addresses in one setting */
#define RP_SETTINGS_FILE_MAX 65536 /* bytes */

struct rp_endpoints {
    size_t count;
    struct rp_endpoint item[RP_ENDPOINTS_MAX];
};

enum rp_setting_kind {
    RP_SETTING_TEXT,      /* GString * */
    RP_SETTING_NAME,      /* struct rp_name, a label */
    RP_SETTING_ENDPOINT,  /* struct rp_endpoint */
    RP_SETTING_ENDPOINTS, /* struct rp_endpoints */
    RP_SETTING_UINT,      /* uint32_t, from `min` to `max` */
    RP_SETTING_LEVEL,     /* enum rp_log_level */
    RP_SETTING_SWITCH     /* bool; the flag takes no value */
};

struct rp_setting {
    const char *flag; /* long name, without dashes; NULL: a plain argument */
    enum rp_setting_kind kind;
    size_t offset;     /* of the member in the target struct */
    const char *value; /* what the help calls the value */
    const char *help;
    const char *fallback; /* NULL: required, except for switches */
    uint32_t min;         /* of numbers */
    uint32_t max;
    bool optional;      /* may stay unset without a default */
    const char *unless; /* as `optional`, if the setting of this name is set */
};

enum rp_settings_result {
    RP_SETTINGS_READY,
    RP_SETTINGS_DONE, /* help or version was printed: exit with 0 */
    RP_SETTINGS_BAD   /* findings are in `error`: exit with 2 */
};

/* The settings file that the arguments or the environment name, or NULL.
 * Free it. */
gchar *RpSettings_FilePath(int argc, char **argv);

/* Reads all settings into the zeroed struct at `target`. `usage` is the
 * text above the list of flags. */
enum rp_settings_result RpSettings_Read(const struct rp_setting *settings,
                                        size_t count, const char *program,
                                        const char *usage, int argc,
                                        char **argv, void *target,
                                        struct rp_error *error);

#endif
