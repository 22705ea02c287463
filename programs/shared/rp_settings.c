/* Reading settings: lookup order, parsing of values and findings. */
#include "rp_settings.h"

#include <argtable2.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SETTINGS 32
#define MAX_PARSE_ERRORS 20
#define FILE_FLAG "settings"
#define FILE_VARIABLE "RADISHPORT_SETTINGS"
#define FILE_GROUP "radishport"

/* Argument table for argtable: the settings first, then the settings file,
 * help, version and the end marker. */
struct arguments {
    void *table[MAX_SETTINGS + 4];
    struct arg_str *file;
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_end *end;
    size_t count;
};

static gchar *
build_variable_name(const char *flag)
{
    if (!flag) {
        return NULL;
    }
    gchar *upper = g_ascii_strup(flag, -1);
    gchar *name = g_strdup_printf("RADISHPORT_%s",
                                  g_strdelimit(upper, "-", '_'));

    g_free(upper);
    return name;
}

static void
build_arguments(struct arguments *arguments, const struct rp_setting *settings,
                size_t count)
{
    g_assert(count <= MAX_SETTINGS);
    for (size_t i = 0; i < count; i++) {
        const struct rp_setting *setting = &settings[i];
        arguments->table[i] =
            setting->kind == RP_SETTING_SWITCH
                ? (void *)arg_lit0(NULL, setting->flag, setting->help)
                : (void *)arg_str0(NULL, setting->flag, setting->value,
                                   setting->help);
    }
    arguments->file = arg_str0(NULL, FILE_FLAG, "FILE",
                               "read settings from this file");
    arguments->help = arg_lit0("h", "help", "print this help and exit");
    arguments->version = arg_lit0("V", "version",
                                  "print the version and exit");
    arguments->end = arg_end(MAX_PARSE_ERRORS);
    arguments->table[count] = arguments->file;
    arguments->table[count + 1] = arguments->help;
    arguments->table[count + 2] = arguments->version;
    arguments->table[count + 3] = arguments->end;
    arguments->count = count;
}

static void
print_help(const struct arguments *arguments, const char *program,
           const char *usage)
{
    printf("Usage: %s", program);
    arg_print_syntax(stdout, (void **)arguments->table, "\n\n");
    printf("%s\n\n", usage);
    arg_print_glossary(stdout, (void **)arguments->table, "  %-28s %s\n");
    printf("\nInstead of a flag --some-flag, you can set the environment "
           "variable RADISHPORT_SOME_FLAG,\nor a line some-flag = value "
           "below [radishport] in the settings file.\n");
}

/* Adds each error that argtable reports as a finding. */
static void
collect_parse_errors(const struct arguments *arguments, const char *program,
                     struct rp_error *error)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);

    arg_print_errors(out, arguments->end, program);
    fclose(out);
    gchar **lines = g_strsplit(text, "\n", -1);
    for (gchar **line = lines; *line; line++) {
        if (**line) {
            RpError_Add(error, RP_ERR_SETTING, "command line", "%s", *line);
        }
    }
    g_strfreev(lines);
    free(text);
}

static bool
parse_endpoints(struct rp_str text, struct rp_endpoints *endpoints)
{
    while (text.len) {
        struct rp_str rest;
        struct rp_str part = RpStr_Trim(RpStr_Split(text, ',', &rest));
        if (endpoints->count >= RP_ENDPOINTS_MAX ||
            !RpEndpoint_Parse(part, &endpoints->item[endpoints->count])) {
            return false;
        }
        endpoints->count++;
        text = rest;
    }
    return endpoints->count > 0;
}

/* Parses a switch. An empty value is off, because an environment variable may
 * be empty. */
static bool
parse_switch(const char *value, bool *on)
{
    *on = !strcmp(value, "1") || !strcmp(value, "true");
    return *on || !value[0] || !strcmp(value, "0") || !strcmp(value, "false");
}

/* Returns the number, or NAN if it is invalid or out of the bounds. */
static double
parse_decimal(const struct rp_setting *setting, const char *value)
{
    char *end;
    double number = g_ascii_strtod(value, &end);

    return end != value && *end == '\0' && number > setting->min &&
                   number <= setting->max
               ? number
               : NAN;
}

static enum rp_code
parse_value(const struct rp_setting *setting, const char *place,
            const char *value, void *member, struct rp_error *error)
{
    struct rp_str text = RpStr_FromC(value);
    uint64_t number;

    switch (setting->kind) {
    case RP_SETTING_TEXT:
        *(GString **)member = g_string_new(value);
        return RP_OK;
    case RP_SETTING_NAME:
        if (RpName_IsLabel(text) && RpName_Set(member, text)) {
            return RP_OK;
        }
        return RpError_Add(
            error, RP_ERR_SETTING, place,
            "\"%s\" is not a valid name: only a-z, 0-9 and inner "
            "hyphens are allowed",
            value);
    case RP_SETTING_ENDPOINT:
        if (RpEndpoint_Parse(text, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not an address a.b.c.d:port", value);
    case RP_SETTING_ENDPOINTS:
        if (parse_endpoints(text, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not a list of up to %d addresses "
                           "a.b.c.d:port,…",
                           value, RP_ENDPOINTS_MAX);
    case RP_SETTING_UINT:
        if (RpStr_ToUint(text, setting->max, &number) &&
            number >= setting->min) {
            *(uint32_t *)member = (uint32_t)number;
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not a number from %u to %u", value,
                           setting->min, setting->max);
    case RP_SETTING_DECIMAL:
        *(double *)member = parse_decimal(setting, value);
        return RP_OK;
    case RP_SETTING_LEVEL:
        if (RpLog_ParseLevel(text, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not debug, info, warn or error", value);
    case RP_SETTING_SWITCH:
        if (parse_switch(value, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not 1, 0, true or false", value);
    }
    return RP_OK;
}

/* Returns the value of a setting in the settings file, or NULL if it is
 * missing or empty. Free it with g_free. */
static gchar *
find_file_value(GKeyFile *file, const struct rp_setting *setting)
{
    gchar *value = file && setting->flag
                       ? g_key_file_get_string(file, FILE_GROUP, setting->flag,
                                               NULL)
                       : NULL;

    if (value && !*g_strstrip(value)) {
        g_free(value);
        return NULL;
    }
    return value;
}

/* Returns the value of a setting, from its flag, variable, file or default, or
 * NULL if it has none. `*place` names the source for findings. Free both with
 * g_free. */
static gchar *
find_value(const struct rp_setting *setting, void *argument, GKeyFile *file,
           gchar **place)
{
    gchar *variable = build_variable_name(setting->flag);
    gchar *value = NULL;

    *place = setting->flag ? g_strdup_printf("--%s", setting->flag)
                           : g_strdup(setting->value);
    if (setting->kind == RP_SETTING_SWITCH) {
        value = ((struct arg_lit *)argument)->count ? g_strdup("1") : NULL;
    }
    else if (((struct arg_str *)argument)->count) {
        value = g_strdup(((struct arg_str *)argument)->sval[0]);
    }
    if (!value && variable && g_getenv(variable)) {
        value = g_strdup(g_getenv(variable));
        g_free(*place);
        *place = g_strdup(variable);
    }
    if (!value && (value = find_file_value(file, setting)) != NULL) {
        g_free(*place);
        *place = g_strdup_printf("settings file: %s", setting->flag);
    }
    g_free(variable);
    return value ? value : g_strdup(setting->fallback);
}

/* Returns whether the setting with this flag has a value. */
static bool
has_value(const struct arguments *arguments, const struct rp_setting *settings,
          GKeyFile *file, const char *flag)
{
    bool given = false;

    for (size_t i = 0; flag && i < arguments->count; i++) {
        if (settings[i].flag && !strcmp(settings[i].flag, flag)) {
            gchar *place;
            gchar *value = find_value(&settings[i], arguments->table[i], file,
                                      &place);
            given = value != NULL;
            g_free(value);
            g_free(place);
        }
    }
    return given;
}

static void
read_setting(const struct arguments *arguments,
             const struct rp_setting *settings, size_t index, GKeyFile *file,
             void *target, struct rp_error *error)
{
    const struct rp_setting *setting = &settings[index];
    gchar *place;
    gchar *value = find_value(setting, arguments->table[index], file, &place);

    if (value) {
        parse_value(setting, place, value, (char *)target + setting->offset,
                    error);
    }
    else if (!setting->optional && setting->kind != RP_SETTING_SWITCH &&
             !has_value(arguments, settings, file, setting->unless)) {
        gchar *variable = build_variable_name(setting->flag);
        RpError_Add(error, RP_ERR_SETTING, place, "is required%s%s",
                    variable ? ", or set " : "", variable ? variable : "");
        g_free(variable);
    }
    g_free(value);
    g_free(place);
}

/* Adds a finding for each unknown group or key in the settings file. */
static void
check_file_names(GKeyFile *file, const struct rp_setting *settings,
                 size_t count, struct rp_error *error)
{
    gchar **groups = g_key_file_get_groups(file, NULL);
    gchar **keys = g_key_file_get_keys(file, FILE_GROUP, NULL, NULL);

    for (gchar **group = groups; *group; group++) {
        if (strcmp(*group, FILE_GROUP) != 0) {
            RpError_Add(error, RP_ERR_SETTING, "settings file",
                        "unknown group [%s]", *group);
        }
    }
    for (gchar **key = keys; key && *key; key++) {
        size_t i = 0;
        while (i < count &&
               (!settings[i].flag || strcmp(settings[i].flag, *key) != 0)) {
            i++;
        }
        if (i == count) {
            RpError_Add(error, RP_ERR_SETTING, "settings file",
                        "unknown setting %s", *key);
        }
    }
    g_strfreev(groups);
    g_strfreev(keys);
}

/* Reads the settings file. Returns NULL and adds a finding if it cannot be
 * read. */
static GKeyFile *
load_file(const char *path, const struct rp_setting *settings, size_t count,
          struct rp_error *error)
{
    GKeyFile *file = g_key_file_new();
    GError *file_error = NULL;
    gchar *text = NULL;
    gsize len = 0;

    if (!g_file_get_contents(path, &text, &len, &file_error) ||
        !g_key_file_load_from_data(file, text, len, G_KEY_FILE_NONE,
                                   &file_error)) {
        RpError_Add(error, RP_ERR_SETTING, path, "%s", file_error->message);
        g_error_free(file_error);
        g_key_file_free(file);
        file = NULL;
    }
    else if (len > RP_SETTINGS_FILE_MAX) {
        RpError_Add(error, RP_ERR_LIMIT, path, "is larger than %d bytes",
                    RP_SETTINGS_FILE_MAX);
    }
    else {
        check_file_names(file, settings, count, error);
    }
    g_free(text);
    return file;
}

gchar *
RpSettings_FilePath(int argc, char **argv)
{
    static const char flag[] = "--" FILE_FLAG;

    for (int i = 1; i < argc; i++) {
        if (!strcmp(argv[i], flag) && i + 1 < argc) {
            return g_strdup(argv[i + 1]);
        }
        if (g_str_has_prefix(argv[i], flag) && argv[i][strlen(flag)] == '=') {
            return g_strdup(argv[i] + strlen(flag) + 1);
        }
    }
    const char *named = g_getenv(FILE_VARIABLE);
    return named && *named ? g_strdup(named) : NULL;
}

enum rp_settings_result
RpSettings_Read(const struct rp_setting *settings, size_t count,
                const char *program, const char *usage, int argc, char **argv,
                void *target, struct rp_error *error)
{
    struct arguments arguments = {0};
    enum rp_settings_result result = RP_SETTINGS_READY;

    build_arguments(&arguments, settings, count);
    int errors = arg_parse(argc, argv, arguments.table);
    if (arguments.help->count) {
        print_help(&arguments, program, usage);
        result = RP_SETTINGS_DONE;
    }
    else if (arguments.version->count) {
        printf("%s %s\n", program, RP_VERSION);
        result = RP_SETTINGS_DONE;
    }
    else {
        if (errors) {
            collect_parse_errors(&arguments, program, error);
        }
        gchar *path = RpSettings_FilePath(argc, argv);
        GKeyFile *file = path ? load_file(path, settings, count, error) : NULL;
        for (size_t i = 0; i < count; i++) {
            read_setting(&arguments, settings, i, file, target, error);
        }
        if (file) {
            g_key_file_free(file);
        }
        g_free(path);
        if (RpError_Count(error)) {
            result = RP_SETTINGS_BAD;
        }
    }
    arg_freetable(arguments.table, count + 4);
    return result;
}
