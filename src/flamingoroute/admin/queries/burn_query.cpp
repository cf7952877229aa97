#include "flamingoroute/admin/queries/burn_query.hpp"

namespace flamingoroute {

namespace {

admin_answer render(const burn_report& report, const std::string& format)
{
    if (format == "json")
        return admin_answer { 200, "application/json", burnAsJson(report) };
    if (format == "text")
        return admin_answer { 200, "text/plain", burnAsText(report) };
    if (format == "html")
        return admin_answer { 200, "text/html", burnAsHtml(report) };
    return answerWith(
        error { error_code::invalid_input, "admin.burn", "format=" + format, "must be json, text or html" });
}

} // namespace

void addBurnQuery(admin_registry& registry, std::function<burn_report()> report)
{
    registry.addQuery("burn", [report = std::move(report)](const admin_request& request) {
        const auto format = request.parameters.find("format");
        return render(report(), format == request.parameters.end() ? "json" : format->second);
    });
}

} // namespace flamingoroute
