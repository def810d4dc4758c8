#include "report.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>

namespace hibiscus::testing {

namespace {

using nlohmann::json;

constexpr int row_height = 26;
constexpr int label_width = 150;
constexpr int panel_width = 300;
constexpr int top = 50;

/// One of the two panels of the picture.
struct panel {
    measure shown;
    const char* title;
    int left;
};

constexpr std::array<panel, 2> panels{{
    {measure::trainer_idle, "trainer idle share", label_width},
    {measure::staleness, "staleness, versions", label_width + panel_width + 60},
}};

std::string format_decimal(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", value);
    return text.data();
}

void draw_row(std::ostream& out, const panel& p, const variant_runs& row,
              int y) {
    const auto width = [](double v) {
        return static_cast<int>(v * panel_width);
    };
    const auto value = row.median_of(p.shown);
    out << "<rect x='" << p.left << "' y='" << y << "' width='" << width(value)
        << "' height='14' fill='#7a9cc6'/>\n";
    for (const auto& run : row.runs) {
        out << "<circle cx='" << p.left + width(run.at(p.shown)) << "' cy='"
            << y + 7 << "' r='2.5' fill='#333'/>\n";
    }
    out << "<text x='" << p.left + panel_width + 8 << "' y='" << y + 12 << "'>"
        << format_decimal(value) << "</text>\n";
}

} // namespace

double variant_runs::median_of(measure m) const {
    std::vector<double> values;
    for (const auto& run : runs) {
        values.push_back(run.at(m));
    }
    return median(std::move(values));
}

std::string to_table(const std::vector<variant_runs>& all) {
    std::ostringstream out;
    std::string rule = "| --- |";
    out << "| variant |";
    for (const auto& m : base::enum_names<measure>::table) {
        out << " " << m.name << " |";
        rule += " ---: |";
    }
    out << " runs | failed |\n" << rule << " ---: | ---: |\n";
    for (const auto& row : all) {
        out << "| " << row.name << " |";
        for (const auto& m : base::enum_names<measure>::table) {
            out << " " << format_decimal(row.median_of(m.value)) << " |";
        }
        out << " " << row.runs.size() << " | " << row.failed << " |\n";
    }
    return out.str();
}

std::string to_json(const bench_settings& how,
                    const std::vector<variant_runs>& all) {
    json sides = json::array();
    for (const auto& row : all) {
        json medians = json::object();
        json runs = json::array();
        for (const auto& m : base::enum_names<measure>::table) {
            medians[std::string(m.name)] = row.median_of(m.value);
        }
        for (const auto& run : row.runs) {
            json one = json::object();
            for (const auto& [m, value] : run) {
                one[std::string(base::name_of(m))] = value;
            }
            runs.push_back(std::move(one));
        }
        sides.push_back({{"variant", row.name},
                         {"medians", std::move(medians)},
                         {"failed", row.failed},
                         {"runs", std::move(runs)}});
    }
    const json all_json{
        {"comparison", how.comparison}, {"workload", how.workload},
        {"commit", how.commit},         {"first_seed", how.first_seed},
        {"rounds", how.rounds},         {"steps", how.steps},
        {"variants", std::move(sides)}};
    return all_json.dump(2) + "\n";
}

std::string to_svg(const bench_settings& how,
                   const std::vector<variant_runs>& all) {
    const int height = top + row_height * static_cast<int>(all.size()) + 10;
    const int width = label_width + 2 * (panel_width + 60);
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
        << "' height='" << height
        << "' font-family='sans-serif' font-size='12'>\n"
        << "<text x='4' y='16'>" << how.comparison << ", " << how.workload
        << ", commit " << how.commit << ", seeds from " << how.first_seed
        << "; bars are medians, dots are runs, full width is 1</text>\n";
    for (const auto& p : panels) {
        out << "<text x='" << p.left << "' y='38'>" << p.title << "</text>\n";
    }
    int y = top;
    for (const auto& row : all) {
        out << "<text x='4' y='" << y + 12 << "'>" << row.name << "</text>\n";
        for (const auto& p : panels) {
            draw_row(out, p, row, y);
        }
        y += row_height;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace hibiscus::testing
