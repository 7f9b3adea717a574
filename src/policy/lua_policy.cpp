// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/policy/lua_policy.hpp"

#include <lua.hpp>
#include <memory>

namespace pepperturn {

namespace {

constexpr std::size_t memory_limit = 4U << 20U;
constexpr int instruction_limit = 100000;
constexpr int highest_class = 1000;

/// Memory in use by one Lua state, limited to memory_limit bytes.
struct memory_account
{
    std::size_t m_used = 0;
};

void* allocate(void* opaque, void* block, std::size_t old_size,
               std::size_t new_size)
{
    auto& used = static_cast<memory_account*>(opaque)->m_used;
    // For a new block the old size is a type tag (lua_Alloc, manual 4.6).
    const std::size_t before = block == nullptr ? 0 : old_size;
    if (new_size == 0)
    {
        std::free(block);
        used -= before;
        return nullptr;
    }
    if (used - before + new_size > memory_limit)
        return nullptr;
    void* out = std::realloc(block, new_size);
    if (out != nullptr)
        used = used - before + new_size;
    return out;
}

void on_instruction_limit(lua_State* lua, lua_Debug*)
{
    luaL_error(lua, "instruction limit reached");
}

/// Opens base, string, table and math, without the functions that read files,
/// load code, print or control the garbage collector.
void open_libraries(lua_State* lua)
{
    luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
    luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
    luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
    luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
    lua_settop(lua, 0);
    for (const char* name :
         {"dofile", "loadfile", "load", "require", "print", "collectgarbage"})
    {
        lua_pushnil(lua);
        lua_setglobal(lua, name);
    }
}

class lua_rules
{
public:
    lua_rules() : m_lua(lua_newstate(allocate, &m_memory))
    {
        if (m_lua != nullptr)
            open_libraries(m_lua);
    }

    ~lua_rules()
    {
        if (m_lua != nullptr)
            lua_close(m_lua);
    }

    lua_rules(const lua_rules&) = delete;
    lua_rules& operator=(const lua_rules&) = delete;

    bool load(const std::string& source, std::string& reason)
    {
        if (m_lua == nullptr)
        {
            reason = "no memory for the policy";
            return false;
        }
        if (luaL_loadbufferx(m_lua, source.data(), source.size(), "=policy",
                             "t") != LUA_OK)
            return fail(reason);
        return run(0, 0, reason);
    }

    [[nodiscard]] bool has(const char* name)
    {
        const bool found = lua_getglobal(m_lua, name) == LUA_TFUNCTION;
        lua_pop(m_lua, 1);
        return found;
    }

    std::optional<std::int64_t> call_number(const char* name,
                                            const policy_facts& facts,
                                            int tables, std::string& reason)
    {
        if (!call(name, facts, tables, reason))
            return std::nullopt;
        int valid = 0;
        const auto value = lua_tointegerx(m_lua, -1, &valid);
        lua_settop(m_lua, 0);
        if (valid == 0)
        {
            reason = std::string(name) + " must return a whole number";
            return std::nullopt;
        }
        return value;
    }

    std::optional<bool> call_bool(const char* name, const policy_facts& facts,
                                  std::string& reason)
    {
        if (!call(name, facts, 3, reason))
            return std::nullopt;
        const bool valid = lua_isboolean(m_lua, -1);
        const bool value = lua_toboolean(m_lua, -1) != 0;
        lua_settop(m_lua, 0);
        if (!valid)
        {
            reason = std::string(name) + " must return true or false";
            return std::nullopt;
        }
        return value;
    }

private:
    bool fail(std::string& reason)
    {
        const char* text = lua_tostring(m_lua, -1);
        reason = text == nullptr ? "policy failed" : text;
        lua_settop(m_lua, 0);
        return false;
    }

    bool run(int arguments, int results, std::string& reason)
    {
        lua_sethook(m_lua, on_instruction_limit, LUA_MASKCOUNT,
                    instruction_limit);
        const int status = lua_pcall(m_lua, arguments, results, 0);
        lua_sethook(m_lua, nullptr, 0, 0);
        return status == LUA_OK || fail(reason);
    }

    void set(const char* key, const std::string& value)
    {
        lua_pushlstring(m_lua, value.data(), value.size());
        lua_setfield(m_lua, -2, key);
    }

    void set(const char* key, std::uint64_t value)
    {
        lua_pushinteger(m_lua, static_cast<lua_Integer>(value));
        lua_setfield(m_lua, -2, key);
    }

    void set(const char* key, bool value)
    {
        lua_pushboolean(m_lua, value ? 1 : 0);
        lua_setfield(m_lua, -2, key);
    }

    void push_program(const policy_facts& facts)
    {
        lua_newtable(m_lua);
        set("workspace", facts.m_workspace);
        set("name", facts.m_program);
        set("sub_agent", facts.m_sub_agent);
        set("turns", facts.m_turns);
        set("spent", facts.m_spent);
        set("workspace_budget", facts.m_workspace_budget);
    }

    void push_call(const policy_facts& facts)
    {
        lua_newtable(m_lua);
        set("session", facts.m_session);
        set("upstream", facts.m_upstream);
        set("repeatable", facts.m_repeatable);
    }

    void push_runner(const policy_facts& facts)
    {
        lua_newtable(m_lua);
        set("name", facts.m_runner);
        set("availability_zone", facts.m_runner_zone);
    }

    bool call(const char* name, const policy_facts& facts, int tables,
              std::string& reason)
    {
        lua_getglobal(m_lua, name);
        push_program(facts);
        if (tables >= 2)
            push_call(facts);
        if (tables >= 3)
            push_runner(facts);
        return run(tables, 1, reason);
    }

    memory_account m_memory;
    lua_State* m_lua;
};

int clamp_class(std::int64_t value)
{
    return static_cast<int>(std::max<std::int64_t>(
        -highest_class, std::min<std::int64_t>(highest_class, value)));
}

policy bind_rules(const std::shared_ptr<lua_rules>& rules,
                  std::uint64_t revision)
{
    policy out = default_policy();
    out.m_revision = revision;
    out.m_name = "lua";
    if (rules->has("priority"))
    {
        out.m_priority = [rules](const policy_facts& facts) {
            std::string reason;
            const auto value = rules->call_number("priority", facts, 2, reason);
            return value ? clamp_class(*value) : 0;
        };
    }
    if (rules->has("budget"))
    {
        out.m_budget = [rules](const policy_facts& facts) {
            std::string reason;
            const auto value = rules->call_number("budget", facts, 1, reason);
            // Limited to the workspace's budget.
            if (!value || *value < 0)
                return facts.m_workspace_budget;
            return std::min(facts.m_workspace_budget,
                            static_cast<std::uint64_t>(*value));
        };
    }
    if (rules->has("allow"))
    {
        out.m_allow = [rules](const policy_facts& facts) {
            std::string reason;
            return rules->call_bool("allow", facts, reason).value_or(true);
        };
    }
    return out;
}

policy_facts sample(std::uint64_t turns, bool sub_agent)
{
    policy_facts facts;
    facts.m_workspace = "sample";
    facts.m_program = "sample-program";
    facts.m_session = "main";
    facts.m_upstream = "sample-upstream";
    facts.m_sub_agent = sub_agent;
    facts.m_turns = turns;
    facts.m_spent = turns * 1000;
    facts.m_workspace_budget = 2000000;
    facts.m_runner = "sample-runner";
    facts.m_runner_zone = "sample-zone";
    return facts;
}

bool try_samples(lua_rules& rules, std::string& reason)
{
    for (const bool sub_agent : {false, true})
    {
        for (const std::uint64_t turns : {0U, 1U, 68U})
        {
            const auto facts = sample(turns, sub_agent);
            if (rules.has("priority") &&
                !rules.call_number("priority", facts, 2, reason))
                return false;
            if (rules.has("budget") &&
                !rules.call_number("budget", facts, 1, reason))
                return false;
            if (rules.has("allow") && !rules.call_bool("allow", facts, reason))
                return false;
        }
    }
    return true;
}

} // namespace

std::optional<policy> make_policy(const std::string& source,
                                  std::uint64_t revision, std::string& reason)
{
    if (source.empty())
    {
        auto out = default_policy();
        out.m_revision = revision;
        return out;
    }
    auto rules = std::make_shared<lua_rules>();
    if (!rules->load(source, reason) || !try_samples(*rules, reason))
        return std::nullopt;
    return bind_rules(rules, revision);
}

} // namespace pepperturn
