-- Disputes with a clerk at the counter go before nightly syncs and tallies.
function priority(program, call)
    if program.name:find("^sync") or program.name:find("^tally") then
        return 1
    end
    return 0
end

-- A sync needs little; a dispute may use all that its workspace has.
function budget(program)
    if program.name:find("^sync") then
        return math.min(program.workspace_budget, 200000)
    end
    return program.workspace_budget
end
