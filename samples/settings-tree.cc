#include <swiftloft/settings/tree.h>

#include <fmt/format.h>

/// One idea: a tree is judged whole. A text gives a tree, or every problem in it; and each value in force can say where
/// it was written.
int main()
{
    using namespace swiftloft;
    using settings::Tree;

    constexpr auto text = R"([service drafting]
kind = model
request-deadline = 60s

[service drafting-long]
parent = service drafting
request-deadline = 5min
)";

    auto parsed = Tree::parse(text, "example.ini");
    if (!parsed.tree)
        return 1;
    auto service = parsed.tree->service(ServiceName("drafting-long")).value();
    fmt::print("deadline: {} s\n", service.requestDeadline / seconds(1));

    auto node = settings::NodeId::of(service.name);
    for (auto& setting : parsed.tree->effective(node).value()) {
        if (!setting.origin.isBuiltIn())
            fmt::print("{} = {}, from {}\n", setting.name(), setting.text(), setting.origin.toString());
    }

    auto faulty = Tree::parse("[service drafting]\nkind = modle\nrequest-dedline = 60s\n", "faulty.ini");
    for (auto& problem : faulty.problems)
        fmt::print("{}\n", problem.toString());
    return 0;
}
