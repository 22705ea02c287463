/* Reads a program's settings from flags, environment variables and a settings
 * file.
 *
 * A program describes its settings in a table. The value of a setting comes
 * from its flag, or else from the variable RADISHPORT_<FLAG>, or else from the
 * settings file, or else from its default. The file is named by --settings or
 * RADISHPORT_SETTINGS; it is a GLib key file with the flags' names as keys in
 * the group [radishport]. The findings on all settings are collected and
 * reported together.
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
    RP_SETTING_NAME,      /* struct rp_name, a DNS label */
    RP_SETTING_ENDPOINT,  /* struct rp_endpoint */
    RP_SETTING_ENDPOINTS, /* struct rp_endpoints */
    RP_SETTING_UINT,      /* uint32_t, from `min` to `max` */
    RP_SETTING_DECIMAL,   /* double, above `min` and up to `max`. NAN if it is
                           * given but invalid: for settings that a program
                           * can do without, and reports. */
    RP_SETTING_LEVEL,     /* enum rp_log_level */
    RP_SETTING_SWITCH     /* bool; the flag takes no value */
};

struct rp_setting {
    const char *flag; /* long name, without the leading dashes; NULL: a
                       * positional argument */
    enum rp_setting_kind kind;
    size_t offset;     /* offset of the member in the target struct */
    const char *value; /* placeholder for the value in the help */
    const char *help;
    const char *fallback; /* default; NULL: none, so required except for
                           * switches */
    uint32_t min;         /* bounds of numbers */
    uint32_t max;
    bool optional;      /* may stay unset without a default */
    const char *unless; /* optional if the setting with this flag is set */
};

enum rp_settings_result {
    RP_SETTINGS_READY,
    RP_SETTINGS_DONE, /* help or version was printed: exit with code 0 */
    RP_SETTINGS_BAD   /* findings are in `error`: exit with code 2 */
};

/* Returns the path of the settings file from the arguments or the environment,
 * or NULL if none is named. Free it with g_free. */
gchar *RpSettings_FilePath(int argc, char **argv);

/* Reads all settings into the zeroed struct at `target`. `usage` is printed
 * above the list of flags. The caller owns the strings in `target`. */
enum rp_settings_result RpSettings_Read(const struct rp_setting *settings,
                                        size_t count, const char *program,
                                        const char *usage, int argc,
                                        char **argv, void *target,
                                        struct rp_error *error);

#endif
