#include <fstream>

#include "cassiakeel/telemetry/report.h"
#include "command.h"

namespace cassiakeel::cli {
namespace {

telemetry::BurnReport CollectBurn(const Arguments& arguments,
                                  Context& context) {
  std::vector<telemetry::NodeBurn> burns;
  std::vector<std::string> missing;
  const auto timeout =
      std::chrono::milliseconds(arguments.Number("node-timeout-ms", 1, 60'000));
  for (const auto& response : context.fetch_from_nodes(
           NodeAddresses(arguments), "/cassiakeel/v1/burn", timeout)) {
    if (!response.error.empty()) {
      missing.push_back(response.address.Value());
      continue;
    }
    auto burn = telemetry::ParseNodeBurn(response.body);
    if (burn) {
      burns.push_back(*std::move(burn));
    } else {
      missing.push_back(response.address.Value());
    }
  }
  return telemetry::MergeBurn(burns, std::move(missing));
}

void WriteHtml(const std::string& file, const std::string& page) {
  std::ofstream stream(file, std::ios::binary);
  stream << page;
  stream.close();
  if (!stream) {
    throw Exception({"write report", {}, "cannot write \"" + file + "\""});
  }
}

int Burn(const Arguments& arguments, Context& context) {
  const auto report = CollectBurn(arguments, context);
  if (arguments.Has("html")) {
    WriteHtml(arguments.Text("html"), telemetry::RenderHtml(report));
  }
  context.out << (arguments.Has("json") ? telemetry::RenderJson(report)
                                        : telemetry::RenderTable(report));
  return report.missing.empty() ? kOk : kFailed;
}

}  // namespace

std::vector<Command> ReportCommands() {
  auto options = NodeOptions();
  options.push_back({"html", "FILE", "also write a self-contained HTML page"});
  options.push_back(JsonOption());
  return {
      {"report burn",
       "Show error budgets, burn rates and failure causes; fails if partial",
       {},
       std::move(options),
       Burn}};
}

}  // namespace cassiakeel::cli
