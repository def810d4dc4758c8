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
constexpr int rows_top = 50;

/// One of the two panels of the chart.
struct panel {
    measure shown_measure;
    const char* title;
    int left_edge;
};

constexpr std::array<panel, 2> panels{{
    {measure::trainer_idle_share, "trainer idle share", label_width},
    {measure::staleness, "staleness, versions", label_width + panel_width + 60},
}};

std::string format_decimal(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", value);
    return text.data();
}

void draw_row(std::ostream& svg, const panel& p, const variant_runs& row,
              int y) {
    const auto width = [](double v) {
        return static_cast<int>(v * panel_width);
    };
    const auto value = row.median_of(p.shown_measure);
    svg << "<rect x='" << p.left_edge << "' y='" << y << "' width='"
        << width(value) << "' height='14' fill='#7a9cc6'/>\n";
    for (const auto& run : row.runs) {
        svg << "<circle cx='" << p.left_edge + width(run.at(p.shown_measure))
            << "' cy='" << y + 7 << "' r='2.5' fill='#333'/>\n";
    }
    svg << "<text x='" << p.left_edge + panel_width + 8 << "' y='" << y + 12
        << "'>" << format_decimal(value) << "</text>\n";
}

} // namespace

double variant_runs::median_of(measure m) const {
    std::vector<double> values;
    for (const auto& run : runs) {
        values.push_back(run.at(m));
    }
    return median(std::move(values));
}

std::string to_table(const std::vector<variant_runs>& results) {
    std::ostringstream table;
    std::string separator = "| --- |";
    table << "| variant |";
    for (const auto& m : base::enum_names<measure>::table) {
        table << " " << m.name << " |";
        separator += " ---: |";
    }
    table << " runs | failed |\n" << separator << " ---: | ---: |\n";
    for (const auto& row : results) {
        table << "| " << row.name << " |";
        for (const auto& m : base::enum_names<measure>::table) {
            table << " " << format_decimal(row.median_of(m.value)) << " |";
        }
        table << " " << row.runs.size() << " | " << row.failed << " |\n";
    }
    return table.str();
}

std::string to_json(const bench_settings& settings,
                    const std::vector<variant_runs>& results) {
    json variants = json::array();
    for (const auto& row : results) {
        json medians = json::object();
        json runs = json::array();
        for (const auto& m : base::enum_names<measure>::table) {
            medians[std::string(m.name)] = row.median_of(m.value);
        }
        for (const auto& run : row.runs) {
            json run_measures = json::object();
            for (const auto& [m, value] : run) {
                run_measures[std::string(base::name_of(m))] = value;
            }
            runs.push_back(std::move(run_measures));
        }
        variants.push_back({{"variant", row.name},
                            {"medians", std::move(medians)},
                            {"failed", row.failed},
                            {"runs", std::move(runs)}});
    }
    const json report{{"comparison", settings.comparison},
                      {"workload", settings.workload},
                      {"commit", settings.commit},
                      {"first_seed", settings.first_seed},
                      {"rounds", settings.rounds},
                      {"steps", settings.steps},
                      {"variants", std::move(variants)}};
    return report.dump(2) + "\n";
}

std::string to_svg(const bench_settings& settings,
                   const std::vector<variant_runs>& results) {
    const int height =
        rows_top + row_height * static_cast<int>(results.size()) + 10;
    const int width = label_width + 2 * (panel_width + 60);
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
        << "' height='" << height
        << "' font-family='sans-serif' font-size='12'>\n"
        << "<text x='4' y='16'>" << settings.comparison << ", "
        << settings.workload << ", commit " << settings.commit
        << ", seeds from " << settings.first_seed
        << "; bars are medians, dots are runs, full width is 1</text>\n";
    for (const auto& p : panels) {
        svg << "<text x='" << p.left_edge << "' y='38'>" << p.title
            << "</text>\n";
    }
    int y = rows_top;
    for (const auto& row : results) {
        svg << "<text x='4' y='" << y + 12 << "'>" << row.name << "</text>\n";
        for (const auto& p : panels) {
            draw_row(svg, p, row, y);
        }
        y += row_height;
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace hibiscus::testing
