#include "flamingoroute/report/burn_report.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace flamingoroute {

namespace {

const char* const windowNames[] { "5 min", "1 h", "6 h", "3 d" };
constexpr int nameWidth = 18;
constexpr int numberWidth = 9;
constexpr double barScale = 40; // pixels for a burn of 1
constexpr double maxBarWidth = 400; // pixels
constexpr int barHeight = 12; // pixels
constexpr int rowHeight = 64; // pixels
constexpr int labelWidth = 240; // pixels

std::string escapeHtml(const std::string& text)
{
    std::string result;
    for (const char each : text) {
        switch (each) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += each;
        }
    }
    return result;
}

std::string formatFixed(double number)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << number;
    return text.str();
}

std::string joinDomainNames(const burn_report& report)
{
    std::string text;
    for (const auto& domain : report.missingDomains)
        text += (text.empty() ? "" : ", ") + domain.value();
    return text;
}

std::string coverageRemarks(const burn_report& report)
{
    std::string text;
    for (std::size_t window = 0; window < report.covered.size(); ++window) {
        if (report.covered[window] < burnWindows[window])
            text += "The window of " + std::string(windowNames[window]) + " covers "
                + std::to_string(report.covered[window].count()) + " s only.\n";
    }
    if (!report.missingInstances.empty())
        text += std::to_string(report.missingInstances.size()) + " instances did not report.\n";
    if (!report.missingDomains.empty())
        text += "No instance reported from the failure domains " + joinDomainNames(report) + ".\n";
    return text;
}

Poco::JSON::Object::Ptr lineAsJson(const burn_line& line)
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("service", line.service.value());
    object->set("customer", line.customer.value());
    object->set("good_share_wanted", line.goodShare);
    object->set("budget_left", line.budgetLeft);
    Poco::JSON::Array::Ptr windows(new Poco::JSON::Array);
    for (std::size_t window = 0; window < line.burn.size(); ++window) {
        Poco::JSON::Object::Ptr item(new Poco::JSON::Object);
        item->set("window", windowNames[window]);
        item->set("burn", line.burn[window]);
        item->set("requests", line.counts[window].requests);
        item->set("late", line.counts[window].late);
        item->set("failed", line.counts[window].failed);
        item->set("refused", line.counts[window].refused);
        windows->add(item);
    }
    object->set("windows", windows);
    return object;
}

void drawLine(std::ostream& page, const burn_line& line, int top)
{
    page << "<text x=\"0\" y=\"" << top + barHeight << "\">"
         << escapeHtml(line.service.value() + " / " + line.customer.value()) << "</text>\n";
    for (std::size_t window = 0; window < line.burn.size(); ++window) {
        const double width = std::min(line.burn[window] * barScale, maxBarWidth);
        const int y = top + static_cast<int>(window) * (barHeight + 2);
        page << "<rect x=\"" << labelWidth << "\" y=\"" << y << "\" width=\"" << formatFixed(width) << "\" height=\""
             << barHeight << "\" fill=\"" << (line.burn[window] > 1 ? "#c0392b" : "#2e86c1") << "\"><title>"
             << windowNames[window] << ": " << formatFixed(line.burn[window]) << "</title></rect>\n";
    }
}

} // namespace

std::string burnAsText(const burn_report& report)
{
    std::ostringstream text;
    text << std::left << std::setw(nameWidth) << "service" << std::setw(nameWidth) << "customer" << std::right;
    for (const char* name : windowNames)
        text << std::setw(numberWidth) << name;
    text << std::setw(numberWidth) << "left"
         << "\n";
    for (const auto& line : report.lines) {
        text << std::left << std::setw(nameWidth) << line.service.value() << std::setw(nameWidth)
             << line.customer.value() << std::right;
        for (const double burn : line.burn)
            text << std::setw(numberWidth) << formatFixed(burn);
        text << std::setw(numberWidth) << formatFixed(line.budgetLeft) << "\n";
    }
    return text.str() + coverageRemarks(report);
}

std::string burnAsJson(const burn_report& report)
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    Poco::JSON::Array::Ptr lines(new Poco::JSON::Array);
    for (const auto& line : report.lines)
        lines->add(lineAsJson(line));
    object->set("lines", lines);
    Poco::JSON::Array::Ptr covered(new Poco::JSON::Array);
    for (const auto each : report.covered)
        covered->add(each.count());
    object->set("covered_seconds", covered);
    Poco::JSON::Array::Ptr missingInstances(new Poco::JSON::Array);
    for (const auto& instance : report.missingInstances)
        missingInstances->add(instance.value());
    object->set("missing_instances", missingInstances);
    Poco::JSON::Array::Ptr domains(new Poco::JSON::Array);
    for (const auto& domain : report.missingDomains)
        domains->add(domain.value());
    object->set("missing_failure_domains", domains);
    return toJsonText(object);
}

std::string burnAsHtml(const burn_report& report)
{
    std::ostringstream page;
    page
        << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title></head>\n"
        << "<body style=\"font-family: sans-serif\"><h1>Service-level burn</h1>\n"
        << "<p>Bars: burn over 5 min, 1 h, 6 h and 3 d; the line marks 1.</p>\n<svg width=\""
        << labelWidth + static_cast<int>(maxBarWidth) << "\" height=\"" << report.lines.size() * rowHeight << "\">\n";
    int top = 0;
    for (const auto& line : report.lines) {
        drawLine(page, line, top);
        top += rowHeight;
    }
    const double burnOneX = labelWidth + barScale;
    page << "<line x1=\"" << burnOneX << "\" x2=\"" << burnOneX << "\" y1=\"0\" y2=\"" << top
         << "\" stroke=\"black\"/>\n</svg>\n"
         << "<pre>" << escapeHtml(burnAsText(report)) << "</pre>\n</body></html>\n";
    return page.str();
}

} // namespace flamingoroute
