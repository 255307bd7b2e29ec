#include "poplarport/settings/program.hpp"

#include <exception>    // exception
#include <ostream>      // ostream
#include <stdexcept>    // invalid_argument
#include <system_error> // system_error
#include <utility>      // move

namespace poplarport::settings
{
namespace
{

int to_exit_code(exit_status status) noexcept
{
    return static_cast<int>(status);
}

} // namespace

cxxopts::Options program::declare_options() const
{
    cxxopts::Options options{this->name, this->description};
    options.add_options()("h,help", "print this help")("version", "print the version");
    if (this->read_settings)
    {
        options.add_options()("settings", "path of the settings file (TOML)", cxxopts::value<std::string>(), "FILE");
        options.add_options()("check-settings", "check the settings file and exit");
    }
    if (!this->positional_help.empty())
    {
        options.add_options("positional")("arguments", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({"arguments"});
        options.positional_help(this->positional_help);
    }
    if (this->add_options)
    {
        this->add_options(options);
    }
    return options;
}

int program::run(int argc, const char* const* argv, std::ostream& out, std::ostream& err) const
{
    try
    {
        cxxopts::Options options = this->declare_options();
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            out << options.help({""});
            return to_exit_code(exit_status::ok);
        }
        if (parsed.count("version") > 0)
        {
            out << this->name << " " << POPLARPORT_VERSION << "\n";
            return to_exit_code(exit_status::ok);
        }
        return this->run_parsed(parsed, out, err);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        err << this->name << ": " << error.what() << "; see " << this->name << " --help\n";
        return to_exit_code(exit_status::usage);
    }
    catch (const std::invalid_argument& error)
    {
        err << this->name << ": " << error.what() << "; see " << this->name << " --help\n";
        return to_exit_code(exit_status::usage);
    }
    catch (const std::system_error& error)
    {
        err << this->name << ": " << error.what() << "\n";
        return to_exit_code(exit_status::unavailable);
    }
    catch (const std::exception& error)
    {
        err << this->name << ": internal error: " << error.what() << "\n";
        return to_exit_code(exit_status::internal);
    }
}

int program::run_parsed(const cxxopts::ParseResult& parsed, std::ostream& out, std::ostream& err) const
{
    if (this->read_settings)
    {
        if (parsed.count("settings") == 0)
        {
            err << this->name << ": --settings FILE is required; see " << this->name << " --help\n";
            return to_exit_code(exit_status::usage);
        }
        const auto path = parsed["settings"].as<std::string>();
        document file = document::from_file(path);
        this->read_settings(file);
        const std::vector<fault> faults = file.finish();
        if (!faults.empty())
        {
            err << to_string(faults);
            return to_exit_code(exit_status::bad_settings);
        }
        if (parsed.count("check-settings") > 0)
        {
            out << path << ": valid\n";
            return to_exit_code(exit_status::ok);
        }
    }
    return to_exit_code(this->run_body(parsed));
}

program::builder::builder(std::string name, std::string description)
{
    this->new_program.name = std::move(name);
    this->new_program.description = std::move(description);
}

program::builder& program::builder::options(std::function<void(cxxopts::Options&)> hook)
{
    this->new_program.add_options = std::move(hook);
    return *this;
}

program::builder& program::builder::positional_arguments(std::string help)
{
    this->new_program.positional_help = std::move(help);
    return *this;
}

program::builder& program::builder::settings(std::function<void(document&)> hook)
{
    this->new_program.read_settings = std::move(hook);
    return *this;
}

program::builder& program::builder::run(std::function<exit_status(const cxxopts::ParseResult&)> hook)
{
    this->new_program.run_body = std::move(hook);
    return *this;
}

program program::builder::build() const
{
    return this->new_program;
}

} // namespace poplarport::settings
