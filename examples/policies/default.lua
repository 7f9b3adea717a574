-- What holds without a policy.
function priority(program, call)
    return 0
end

function budget(program)
    return program.workspace_budget
end

function allow(program, call, runner)
    return true
end
